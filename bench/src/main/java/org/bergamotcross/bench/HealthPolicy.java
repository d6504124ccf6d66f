package org.bergamotcross.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.routing.FailureRisk;
import org.bergamotcross.core.routing.HealthDecision;
import org.bergamotcross.core.routing.HealthView;
import org.bergamotcross.core.routing.InFlightCounts;
import org.bergamotcross.core.routing.PoolHealth;
import org.bergamotcross.core.routing.PoolHealthReport;
import org.bergamotcross.core.routing.PoolLoad;
import org.bergamotcross.core.routing.SendResult;
import org.bergamotcross.core.routing.TargetChoice;
import org.bergamotcross.core.routing.TargetChooser;
import org.bergamotcross.core.routing.TargetStatus;
import org.bergamotcross.kernel.Now;

/** The policy of this project, as the health and routing duties run it. */
final class HealthPolicy implements InstancePolicy {
  private static final Duration INTERVAL = Duration.ofMillis(500);
  private static final Duration REPEAT = Duration.ofSeconds(1);

  private final Pool pool;
  private final InFlightCounts counts = new InFlightCounts();
  private final TargetChooser chooser;
  private final PoolHealth health;
  private final List<TargetId> ejected = new ArrayList<>();
  private HealthView view = new HealthView(Map.of());
  private Optional<Now> reportedAt = Optional.empty();
  private boolean inFlightWasEmpty = true;

  HealthPolicy(
      InstanceId self, FailureDomain domain, Pool pool, UniformRandomProvider random, Now now) {
    this.pool = pool;
    this.chooser = new TargetChooser(domain, counts, new FailureRisk(), new PoolLoad(), random);
    this.health = new PoolHealth(self, 1, domain, pool, now);
  }

  @Override
  public TargetChoice choose(boolean idempotent, Optional<TargetId> previous, Now now) {
    return chooser.choose(pool, view, idempotent, previous, now);
  }

  @Override
  public void started(String attempt, TargetId target, Now now) {
    counts.onAttemptStarted(target);
    note(health.onAttemptStarted(attempt, target, now), now);
  }

  @Override
  public void ended(String attempt, TargetId target, SendResult result, Duration time, Now now) {
    counts.onAttemptEnded(target);
    note(health.onAttemptEnded(attempt, target, result, time, now), now);
  }

  @Override
  public List<TargetId> tick(Now now) {
    note(health.tick(now), now);
    view = new HealthView(health.statuses(now));
    List<TargetId> result = List.copyOf(ejected);
    ejected.clear();
    return result;
  }

  private void note(List<HealthDecision> decisions, Now now) {
    for (HealthDecision decision : decisions) {
      if (decision instanceof HealthDecision.Ejected
          || decision instanceof HealthDecision.PathFault) {
        ejected.add(decision.target());
      }
    }
    if (!decisions.isEmpty()) {
      view = new HealthView(health.statuses(now));
    }
  }

  @Override
  public boolean isInUse(TargetId target) {
    return view.status(target) instanceof TargetStatus.Available;
  }

  @Override
  public Optional<PoolHealthReport> takeReport(Now now) {
    boolean due = reportedAt.isEmpty() || now.since(reportedAt.get()).compareTo(REPEAT) >= 0;
    if (!health.takeReportUrgency() && !due) {
      return Optional.empty();
    }
    Optional<PoolHealthReport> report = health.report(now);
    report.ifPresent(r -> reportedAt = Optional.of(now));
    return report;
  }

  @Override
  public void onReport(PoolHealthReport report, Now now) {
    note(health.onPeerReport(report, now), now);
  }

  @Override
  public Map<TargetId, Double> takeInFlight(Now now) {
    Map<TargetId, Double> averages = health.takeAverageInFlight(INTERVAL, now);
    boolean silent = averages.isEmpty() && inFlightWasEmpty;
    inFlightWasEmpty = averages.isEmpty();
    return silent ? Map.of() : averages;
  }

  @Override
  public void onInFlight(InstanceId peer, Map<TargetId, Double> averages, Now now) {
    counts.onPeerReport(peer, averages, now);
  }
}
