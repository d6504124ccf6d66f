package org.bergamotcross.standin;

/**
 * Entry of the platform's instance list.
 *
 * <p>The component names are the keys of the entry in JSON.
 *
 * @param id the id of the instance or target
 * @param kind {@code entry} or {@code target}
 * @param state {@code live} or {@code leaving}
 * @param address the address at which it listens, as {@code ip:port}
 * @param failureDomain the failure domain in which it runs
 */
public record InstanceListEntry(
    String id, String kind, String state, String address, String failureDomain) {}
