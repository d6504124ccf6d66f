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
import org.bergamotcross.kernel.Now;

/** Round robin, without ejection or with ejection after consecutive failures. */
final class TurnPolicy implements InstancePolicy {
  private static final int LIMIT = 5;
  private static final Duration EJECTION = Duration.ofSeconds(30);

  private final Pool pool;
  private final boolean ejects;
  private final Map<TargetId, Integer> failures = new HashMap<>();
  private final Map<TargetId, Now> ejectedUntil = new HashMap<>();
  private final List<TargetId> ejected = new ArrayList<>();
  private int turn;

  TurnPolicy(Pool pool, boolean ejects, int firstTurn) {
    this.pool = pool;
    this.ejects = ejects;
    this.turn = firstTurn;
  }

  @Override
  public TargetChoice choose(boolean idempotent, Optional<TargetId> previous, Now now) {
    ejectedUntil.values().removeIf(until -> !now.isBefore(until));
    for (int i = 0; i < pool.targets().size(); i++) {
      Target target = pool.targets().get(Math.floorMod(turn++, pool.targets().size()));
      if (isInUse(target.id()) && !previous.equals(Optional.of(target.id()))) {
        return new TargetChoice.Chosen(target, false, 0);
      }
    }
    return new TargetChoice.NoneAvailable();
  }

  @Override
  public void started(String attempt, TargetId target, Now now) {}

  @Override
  public void ended(String attempt, TargetId target, SendResult result, Duration time, Now now) {
    boolean good = result instanceof SendResult.Completed completed && completed.status() < 500;
    int count = good ? 0 : failures.getOrDefault(target, 0) + 1;
    failures.put(target, count);
    boolean room = (ejectedUntil.size() + 1) * 2 <= pool.targets().size();
    if (ejects && count >= LIMIT && isInUse(target) && room) {
      ejectedUntil.put(target, now.plus(EJECTION));
      ejected.add(target);
      failures.put(target, 0);
    }
  }

  @Override
  public List<TargetId> tick(Now now) {
    List<TargetId> result = List.copyOf(ejected);
    ejected.clear();
    return result;
  }

  @Override
  public boolean isInUse(TargetId target) {
    return !ejectedUntil.containsKey(target);
  }

  @Override
  public Optional<PoolHealthReport> takeReport(Now now) {
    return Optional.empty();
  }

  @Override
  public void onReport(PoolHealthReport report, Now now) {}

  @Override
  public Map<TargetId, Double> takeInFlight(Now now) {
    return Map.of();
  }

  @Override
  public void onInFlight(InstanceId peer, Map<TargetId, Double> averages, Now now) {}
}
