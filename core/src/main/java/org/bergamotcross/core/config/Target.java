package org.bergamotcross.core.config;

import org.bergamotcross.core.membership.FailureDomain;

/**
 * A back end of a pool.
 *
 * @param id the name
 * @param host the IPv4 address
 * @param port the TCP port
 * @param failureDomain the failure domain in which the target runs
 * @param startedAtMillis the Unix time of its start in ms, 0 if it does not publish one; a target
 *     that restarts under its old id has a later one
 */
public record Target(
    TargetId id, String host, int port, FailureDomain failureDomain, long startedAtMillis) {

  /**
   * Creates a target that does not publish the time of its start.
   *
   * @param id the name
   * @param host the IPv4 address
   * @param port the TCP port
   * @param failureDomain the failure domain in which the target runs
   */
  public Target(TargetId id, String host, int port, FailureDomain failureDomain) {
    this(id, host, port, failureDomain, 0);
  }

  /**
   * Returns whether the target publishes the time of its start.
   *
   * @return whether a restart can be told from the present start
   */
  public boolean hasStartTime() {
    return startedAtMillis > 0;
  }
}
