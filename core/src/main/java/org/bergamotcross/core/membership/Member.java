package org.bergamotcross.core.membership;

/**
 * An instance as the log records it.
 *
 * @param id the instance
 * @param incarnation a number that is new each time the process starts
 * @param failureDomain where it runs
 * @param peerAddress where it accepts peers, as {@code ip:port}
 */
public record Member(
    InstanceId id, long incarnation, FailureDomain failureDomain, String peerAddress) {}
