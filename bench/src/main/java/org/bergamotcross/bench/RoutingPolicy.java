package org.bergamotcross.bench;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.routing.PoolHealthReport;
import org.bergamotcross.core.routing.SendResult;
import org.bergamotcross.core.routing.TargetChoice;
import org.bergamotcross.kernel.ClockReading;

/** A routing policy of one simulated instance: target choice and passive health checking. */
sealed interface RoutingPolicy permits HealthRoutingPolicy, RoundRobinRoutingPolicy {

  /** The compared policies. */
  enum Kind {
    /** The policy in production use. */
    HEALTH_BASED("chosen"),
    /** Round robin without ejection. */
    ROUND_ROBIN("round-robin"),
    /** Round robin; five consecutive failures eject a target for 30 s. */
    CONSECUTIVE_FAILURES("consecutive-failures");

    private final String reportName;

    Kind(String reportName) {
      this.reportName = reportName;
    }

    String reportName() {
      return reportName;
    }
  }

  TargetChoice choose(boolean idempotent, Optional<TargetId> previous, ClockReading now);

  void onAttemptStarted(String attempt, TargetId target, ClockReading now);

  void onAttemptEnded(
      String attempt, TargetId target, SendResult result, Duration duration, ClockReading now);

  /** Runs the periodic work and returns the targets ejected since the previous tick. */
  List<TargetId> tick(ClockReading now);

  boolean isAvailable(TargetId target);

  /** Returns the health report to send to the peers, if one is due. */
  Optional<PoolHealthReport> takeDueHealthReport(ClockReading now);

  void onPeerHealthReport(PoolHealthReport report, ClockReading now);

  /**
   * Returns the average requests in flight per target over the past 500 ms, to send to the peers.
   */
  Map<TargetId, Double> takeDueInFlightAverages(ClockReading now);

  void onPeerInFlightAverages(InstanceId peer, Map<TargetId, Double> averages, ClockReading now);
}
