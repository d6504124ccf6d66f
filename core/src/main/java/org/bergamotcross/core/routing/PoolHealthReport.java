package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;

/**
 * What one instance tells its peers about a pool.
 *
 * @param observer the instance
 * @param incarnation its incarnation
 * @param failureDomain where it runs
 * @param sequence grows with each report; a report that arrives after a later one has no effect
 * @param pool the pool
 * @param baselineLatency the median of the targets' averages, when it has seen any
 * @param targets the targets of which there is something to tell
 */
public record PoolHealthReport(
    InstanceId observer,
    long incarnation,
    FailureDomain failureDomain,
    long sequence,
    PoolId pool,
    Optional<Duration> baselineLatency,
    List<TargetEvidence> targets) {

  /** Copies the list. */
  public PoolHealthReport {
    targets = List.copyOf(targets);
  }
}
