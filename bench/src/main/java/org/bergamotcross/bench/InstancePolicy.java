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
import org.bergamotcross.kernel.Now;

/** How one instance chooses targets and what it learns. */
sealed interface InstancePolicy permits HealthPolicy, TurnPolicy {

  /** The policies that are compared. */
  enum Kind {
    /** The policy of this project. */
    CHOSEN("chosen"),
    /** Each target in turn, without ejection. */
    ROUND_ROBIN("round-robin"),
    /** Each target in turn; five failures in a row eject a target for 30 s. */
    CONSECUTIVE("consecutive-failures");

    private final String text;

    Kind(String text) {
      this.text = text;
    }

    String text() {
      return text;
    }
  }

  TargetChoice choose(boolean idempotent, Optional<TargetId> previous, Now now);

  void started(String attempt, TargetId target, Now now);

  void ended(String attempt, TargetId target, SendResult result, Duration time, Now now);

  /** Does what is due; returns the targets that it has just ejected. */
  List<TargetId> tick(Now now);

  boolean isInUse(TargetId target);

  /** Returns the evidence to send now. */
  Optional<PoolHealthReport> takeReport(Now now);

  void onReport(PoolHealthReport report, Now now);

  /** Returns the requests in flight to tell now; the interval is 500 ms. */
  Map<TargetId, Double> takeInFlight(Now now);

  void onInFlight(InstanceId peer, Map<TargetId, Double> averages, Now now);
}
