package org.bergamotcross.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.routing.PoolHealthReport;
import org.bergamotcross.core.routing.SendResult;
import org.bergamotcross.core.routing.TargetChoice;
import org.bergamotcross.kernel.ClockReading;

/** Round robin, optionally with ejection of a target after consecutive failures. */
final class RoundRobinRoutingPolicy implements RoutingPolicy {
  private static final int MAX_CONSECUTIVE_FAILURES = 5;
  private static final Duration EJECTION_PERIOD = Duration.ofSeconds(30);

  private final Pool pool;
  private final boolean ejectsFailingTargets;
  private final Map<TargetId, Integer> consecutiveFailures = new HashMap<>();
  private final Map<TargetId, ClockReading> ejectedUntil = new HashMap<>();
  private final List<TargetId> newlyEjected = new ArrayList<>();
  private int nextIndex;

  RoundRobinRoutingPolicy(Pool pool, boolean ejectsFailingTargets, int firstIndex) {
    this.pool = pool;
    this.ejectsFailingTargets = ejectsFailingTargets;
    this.nextIndex = firstIndex;
  }

  @Override
  public TargetChoice choose(boolean idempotent, Optional<TargetId> previous, ClockReading now) {
    ejectedUntil.values().removeIf(until -> !now.isBefore(until));
    for (int i = 0; i < pool.targets().size(); i++) {
      Target target = pool.targets().get(Math.floorMod(nextIndex++, pool.targets().size()));
      if (isAvailable(target.id()) && !previous.equals(Optional.of(target.id()))) {
        return new TargetChoice.Chosen(target, TargetChoice.Reason.FEWEST_IN_FLIGHT, 0);
      }
    }
    return new TargetChoice.NoneAvailable();
  }

  @Override
  public void onAttemptStarted(String attempt, TargetId target, ClockReading now) {}

  @Override
  public void onAttemptEnded(
      String attempt, TargetId target, SendResult result, Duration duration, ClockReading now) {
    boolean succeeded =
        result instanceof SendResult.Completed completed && completed.status() < 500;
    int count = succeeded ? 0 : consecutiveFailures.getOrDefault(target, 0) + 1;
    consecutiveFailures.put(target, count);
    boolean belowEjectionLimit = (ejectedUntil.size() + 1) * 2 <= pool.targets().size();
    if (ejectsFailingTargets
        && count >= MAX_CONSECUTIVE_FAILURES
        && isAvailable(target)
        && belowEjectionLimit) {
      ejectedUntil.put(target, now.plus(EJECTION_PERIOD));
      newlyEjected.add(target);
      consecutiveFailures.put(target, 0);
    }
  }

  @Override
  public List<TargetId> tick(ClockReading now) {
    List<TargetId> result = List.copyOf(newlyEjected);
    newlyEjected.clear();
    return result;
  }

  @Override
  public boolean isAvailable(TargetId target) {
    return !ejectedUntil.containsKey(target);
  }

  @Override
  public Optional<PoolHealthReport> takeDueHealthReport(ClockReading now) {
    return Optional.empty();
  }

  @Override
  public void onPeerHealthReport(PoolHealthReport report, ClockReading now) {}

  @Override
  public Map<TargetId, Double> takeDueInFlightAverages(ClockReading now) {
    return Map.of();
  }

  @Override
  public void onPeerInFlightAverages(
      InstanceId peer, Map<TargetId, Double> averages, ClockReading now) {}
}
