package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Optional;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.Now;

/**
 * What one observer has seen of one target, on the clock of this instance.
 *
 * @param stall the start of the latest stalled request
 * @param success the start of the latest request that succeeded
 * @param failure the start of the latest request that failed
 * @param receivedAt when it was told; the present time for the own observation
 */
record Observation(
    InstanceId observer,
    FailureDomain failureDomain,
    Optional<Now> stall,
    Optional<Now> success,
    Optional<Now> failure,
    double failures,
    double ends,
    Now receivedAt) {

  static Observation of(PoolReport report, TargetEvidence evidence, Now now) {
    return new Observation(
        report.observer(),
        report.failureDomain(),
        evidence.stallAge().map(age -> before(now, age)),
        evidence.successAge().map(age -> before(now, age)),
        evidence.failureAge().map(age -> before(now, age)),
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
        && !(success.isPresent() && success.get().isAfter(stall.get()));
  }

  boolean succeededAfter(Now start) {
    return success.isPresent() && success.get().isAfter(start);
  }

  boolean failedSince(Now clean) {
    return failures > 0 && failure.isPresent() && failure.get().isAfter(clean);
  }
}
