package org.bergamotcross.core.config;

import org.bergamotcross.core.membership.FailureDomain;

/**
 * A back end of a pool.
 *
 * @param id the name
 * @param host the IPv4 address
 * @param port the TCP port
 * @param failureDomain the failure domain in which the target runs
 */
public record Target(TargetId id, String host, int port, FailureDomain failureDomain) {}
