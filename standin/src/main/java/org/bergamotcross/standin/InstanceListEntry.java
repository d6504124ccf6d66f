package org.bergamotcross.standin;

/**
 * An entry of the platform's instance list.
 *
 * @param id the instance
 * @param kind {@code entry} or {@code target}
 * @param state {@code live} or {@code leaving}
 * @param address where it listens, as {@code ip:port}
 * @param failureDomain where it runs
 */
public record InstanceListEntry(
    String id, String kind, String state, String address, String failureDomain) {}
