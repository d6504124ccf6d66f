package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Optional;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.ClockReading;

/**
 * The evidence of one observer on one target, in the time of this instance.
 *
 * @param stallStart the start of the first stalled request that was not followed by a success
 * @param successStart the start of the latest request that succeeded in time
 * @param progressAt the end of the latest request that succeeded, however long it took
 * @param slowSince the start of the first request that has lasted for at least half of the stall
 *     threshold
 * @param failureStart the start of the latest request that failed
 * @param stallCount the number of stalled requests; 1 for a peer that has any, since peers do not
 *     report the number
 * @param receivedAt when the report arrived; the current time for the observation of this instance
 */
record Observation(
    InstanceId observer,
    FailureDomain failureDomain,
    Optional<ClockReading> stallStart,
    Optional<ClockReading> successStart,
    Optional<ClockReading> progressAt,
    Optional<ClockReading> slowSince,
    Optional<ClockReading> failureStart,
    int stallCount,
    double failures,
    double outcomes,
    ClockReading receivedAt) {

  /**
   * Tolerates a request that was sent just before a stall began and still succeeded: its end may
   * follow the start of the stalled one.
   */
  static final Duration REFUTATION_MARGIN = Duration.ofMillis(100);

  static Observation of(PoolHealthReport report, TargetEvidence evidence, ClockReading now) {
    return new Observation(
        report.observer(),
        report.failureDomain(),
        evidence.stallAge().map(age -> timeOfAge(now, age)),
        evidence.successAge().map(age -> timeOfAge(now, age)),
        evidence.progressAge().map(age -> timeOfAge(now, age)),
        evidence.slowAge().map(age -> timeOfAge(now, age)),
        evidence.failureAge().map(age -> timeOfAge(now, age)),
        evidence.stallAge().isPresent() ? 1 : 0,
        evidence.failures(),
        evidence.outcomes(),
        now);
  }

  private static ClockReading timeOfAge(ClockReading now, Duration age) {
    return now.plus(age.negated());
  }

  boolean hasStallAfter(ClockReading evidenceStart) {
    return stallStart.isPresent()
        && stallStart.get().isAfter(evidenceStart)
        && !isRefuted(stallStart.get(), successStart, progressAt);
  }

  /** Returns whether later successes show that a request with this start did not stall. */
  static boolean isRefuted(
      ClockReading start, Optional<ClockReading> success, Optional<ClockReading> progress) {
    return success.filter(s -> s.isAfter(start)).isPresent()
        || progress.filter(p -> p.isAfter(start.plus(REFUTATION_MARGIN))).isPresent();
  }

  boolean hasSuccessAfter(ClockReading start) {
    return successStart.isPresent() && successStart.get().isAfter(start);
  }

  /** Returns whether successes show that the target was not stalled from this time on. */
  boolean contradictsStallAt(ClockReading stallTime) {
    return isRefuted(stallTime.plus(REFUTATION_MARGIN), successStart, progressAt);
  }

  boolean hasFailureAfter(ClockReading evidenceStart) {
    return failures > 0 && failureStart.isPresent() && failureStart.get().isAfter(evidenceStart);
  }
}
