package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;

/**
 * The health evidence on a pool that one instance reports to its peers.
 *
 * @param observer the instance
 * @param incarnation its incarnation
 * @param failureDomain the failure domain of the observer
 * @param sequence the sequence number, which grows with each report; a report that arrives after a
 *     later one is ignored
 * @param pool the pool
 * @param baselineLatency the median of the targets' mean latencies, if any are known
 * @param targets the evidence by target, without targets that have none
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
