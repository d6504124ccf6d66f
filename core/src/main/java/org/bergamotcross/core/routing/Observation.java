package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Optional;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.Now;

/**
 * What one observer has seen of one target, on the clock of this instance.
 *
 * @param stallStart the start of the first stalled request that no success followed
 * @param successStart the start of the latest request that succeeded
 * @param progressAt the latest time at which a request succeeded, however long it took
 * @param slowSince the start of the first request that has lasted for half of the threshold
 * @param failureStart the start of the latest request that failed
 * @param stallCount the number of such requests; 1 for peers, which tell only that there are some
 * @param receivedAt when it was told; the present time for the own observation
 */
record Observation(
    InstanceId observer,
    FailureDomain failureDomain,
    Optional<Now> stallStart,
    Optional<Now> successStart,
    Optional<Now> progressAt,
    Optional<Now> slowSince,
    Optional<Now> failureStart,
    int stallCount,
    double failures,
    double outcomes,
    Now receivedAt) {

  /** A request that was sent just before a stall began may succeed after it was sent. */
  static final Duration REFUTATION_MARGIN = Duration.ofMillis(100);

  static Observation of(PoolHealthReport report, TargetEvidence evidence, Now now) {
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

  private static Now timeOfAge(Now now, Duration age) {
    return now.plus(age.negated());
  }

  boolean hasStallAfter(Now clean) {
    return stallStart.isPresent()
        && stallStart.get().isAfter(clean)
        && !isRefuted(stallStart.get(), successStart, progressAt);
  }

  /** Tells whether the target did other work when a request sent at this time had to be stalled. */
  static boolean isRefuted(Now start, Optional<Now> success, Optional<Now> progress) {
    return success.filter(s -> s.isAfter(start)).isPresent()
        || progress.filter(p -> p.isAfter(start.plus(REFUTATION_MARGIN))).isPresent();
  }

  boolean hasSuccessAfter(Now start) {
    return successStart.isPresent() && successStart.get().isAfter(start);
  }

  /** Tells whether a request succeeded that was sent when a stall from then on was in effect. */
  boolean contradictsStallAt(Now stalledFrom) {
    return isRefuted(stalledFrom.plus(REFUTATION_MARGIN), successStart, progressAt);
  }

  boolean hasFailureAfter(Now clean) {
    return failures > 0 && failureStart.isPresent() && failureStart.get().isAfter(clean);
  }
}
