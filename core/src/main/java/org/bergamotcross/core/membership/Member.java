package org.bergamotcross.core.membership;

/**
 * An instance as recorded in the log.
 *
 * @param id the instance
 * @param incarnation a number that differs for each start of the process
 * @param failureDomain the failure domain in which the instance runs
 * @param peerAddress the address on which it accepts connections of peers, as {@code ip:port}
 */
public record Member(
    InstanceId id, long incarnation, FailureDomain failureDomain, String peerAddress) {}
