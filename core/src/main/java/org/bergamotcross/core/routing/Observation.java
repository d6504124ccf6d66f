package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Optional;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.Now;

/**
 * What one observer has seen of one target, on the clock of this instance.
 *
 * @param stall the start of the first stalled request that no success followed
 * @param success the start of the latest request that succeeded
 * @param progress the latest time at which a request succeeded, however long it took
 * @param slowSince the start of the first request that has lasted for half of the threshold
 * @param failure the start of the latest request that failed
 * @param stalls the number of such requests; 1 for peers, which tell only that there are some
 * @param receivedAt when it was told; the present time for the own observation
 */
record Observation(
    InstanceId observer,
    FailureDomain failureDomain,
    Optional<Now> stall,
    Optional<Now> success,
    Optional<Now> progress,
    Optional<Now> slowSince,
    Optional<Now> failure,
    int stalls,
    double failures,
    double ends,
    Now receivedAt) {

  /** A request that was sent just before a stall began may succeed after it was sent. */
  static final Duration MARGIN = Duration.ofMillis(100);

  static Observation of(PoolReport report, TargetEvidence evidence, Now now) {
    return new Observation(
        report.observer(),
        report.failureDomain(),
        evidence.stallAge().map(age -> before(now, age)),
        evidence.successAge().map(age -> before(now, age)),
        evidence.progressAge().map(age -> before(now, age)),
        evidence.slowAge().map(age -> before(now, age)),
        evidence.failureAge().map(age -> before(now, age)),
        evidence.stallAge().isPresent() ? 1 : 0,
        evidence.failures(),
        evidence.ends(),
        now);
  }

  private static Now before(Now now, Duration age) {
    return now.plus(age.negated());
  }

  boolean stalledSince(Now clean) {
    return stall.isPresent()
        && stall.get().isAfter(clean)
        && !isRefuted(stall.get(), success, progress);
  }

  /** Tells whether the target did other work when a request sent at this time had to be stalled. */
  static boolean isRefuted(Now start, Optional<Now> success, Optional<Now> progress) {
    return success.filter(s -> s.isAfter(start)).isPresent()
        || progress.filter(p -> p.isAfter(start.plus(MARGIN))).isPresent();
  }

  boolean succeededAfter(Now start) {
    return success.isPresent() && success.get().isAfter(start);
  }

  /** Tells whether a request succeeded that was sent when a stall from then on was in effect. */
  boolean contradicts(Now stalledFrom) {
    return isRefuted(stalledFrom.plus(MARGIN), success, progress);
  }

  boolean failedSince(Now clean) {
    return failures > 0 && failure.isPresent() && failure.get().isAfter(clean);
  }
}
