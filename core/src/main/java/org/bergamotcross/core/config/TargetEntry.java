package org.bergamotcross.core.config;

import java.util.OptionalLong;

/**
 * The entry that a target publishes about itself.
 *
 * @param target the target
 * @param pool the pool that the target belongs to
 * @param slots the number of requests that it runs concurrently
 * @param draining whether it asks not to get new requests
 * @param startedAtMillis the Unix time in ms of its start; a target that restarts under its old id
 *     has a later one
 * @param sequence the sequence number of this report since the start
 */
public record TargetEntry(
    Target target,
    PoolId pool,
    int slots,
    boolean draining,
    OptionalLong startedAtMillis,
    long sequence) {

  /**
   * Returns which report of the target this entry is.
   *
   * @return the report
   */
  public TargetReport report() {
    return new TargetReport(startedAtMillis.orElse(0), sequence);
  }
}
