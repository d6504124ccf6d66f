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
import org.bergamotcross.core.routing.TargetNotices;
import org.bergamotcross.core.routing.TargetStatus;
import org.bergamotcross.kernel.ClockReading;

/** Runs the production health checks and target choice as the health and routing duties do. */
final class HealthRoutingPolicy implements RoutingPolicy {
  private static final Duration IN_FLIGHT_AVERAGE_PERIOD = Duration.ofMillis(500);
  private static final Duration REPORT_REPEAT_INTERVAL = Duration.ofSeconds(1);

  private final Pool pool;
  private final InFlightCounts inFlightCounts = new InFlightCounts();
  private final TargetChooser chooser;
  private final PoolHealth health;
  private final List<TargetId> newlyEjected = new ArrayList<>();
  private HealthView healthView = new HealthView(Map.of());
  private Optional<ClockReading> reportedAt = Optional.empty();
  private boolean lastAveragesEmpty = true;

  HealthRoutingPolicy(
      InstanceId self,
      FailureDomain domain,
      Pool pool,
      UniformRandomProvider random,
      ClockReading now) {
    this.pool = pool;
    this.chooser =
        new TargetChooser(
            domain,
            inFlightCounts,
            new FailureRisk(),
            new PoolLoad(),
            new TargetNotices(random),
            random);
    this.health = new PoolHealth(self, 1, domain, pool, now);
  }

  @Override
  public TargetChoice choose(boolean idempotent, Optional<TargetId> previous, ClockReading now) {
    return chooser.choose(pool, healthView, idempotent, previous, now);
  }

  @Override
  public void onAttemptStarted(String attempt, TargetId target, ClockReading now) {
    inFlightCounts.onAttemptStarted(target);
    applyDecisions(health.onAttemptStarted(attempt, target, now), now);
  }

  @Override
  public void onAttemptEnded(
      String attempt, TargetId target, SendResult result, Duration duration, ClockReading now) {
    inFlightCounts.onAttemptEnded(target);
    applyDecisions(health.onAttemptEnded(attempt, target, result, duration, now), now);
  }

  @Override
  public List<TargetId> tick(ClockReading now) {
    applyDecisions(health.tick(now), now);
    healthView = new HealthView(health.statuses(now));
    List<TargetId> result = List.copyOf(newlyEjected);
    newlyEjected.clear();
    return result;
  }

  private void applyDecisions(List<HealthDecision> decisions, ClockReading now) {
    for (HealthDecision decision : decisions) {
      if (decision instanceof HealthDecision.Ejected
          || decision instanceof HealthDecision.PathFault) {
        newlyEjected.add(decision.target());
      }
    }
    if (!decisions.isEmpty()) {
      healthView = new HealthView(health.statuses(now));
    }
  }

  @Override
  public boolean isAvailable(TargetId target) {
    return healthView.status(target) instanceof TargetStatus.Available;
  }

  @Override
  public Optional<PoolHealthReport> takeDueHealthReport(ClockReading now) {
    boolean due =
        reportedAt.isEmpty() || now.since(reportedAt.get()).compareTo(REPORT_REPEAT_INTERVAL) >= 0;
    if (!health.takeReportUrgency() && !due) {
      return Optional.empty();
    }
    Optional<PoolHealthReport> report = health.report(now);
    report.ifPresent(r -> reportedAt = Optional.of(now));
    return report;
  }

  @Override
  public void onPeerHealthReport(PoolHealthReport report, ClockReading now) {
    applyDecisions(health.onPeerReport(report, now), now);
  }

  @Override
  public Map<TargetId, Double> takeDueInFlightAverages(ClockReading now) {
    Map<TargetId, Double> averages = health.takeAverageInFlight(IN_FLIGHT_AVERAGE_PERIOD, now);
    boolean nothingToReport = averages.isEmpty() && lastAveragesEmpty;
    lastAveragesEmpty = averages.isEmpty();
    return nothingToReport ? Map.of() : averages;
  }

  @Override
  public void onPeerInFlightAverages(
      InstanceId peer, Map<TargetId, Double> averages, ClockReading now) {
    inFlightCounts.onPeerReport(peer, averages, now);
  }
}
