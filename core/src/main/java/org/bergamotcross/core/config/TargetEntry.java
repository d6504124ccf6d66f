package org.bergamotcross.core.config;

import java.util.OptionalLong;

/**
 * What a target has published of itself.
 *
 * @param target the target
 * @param pool the pool that it belongs to
 * @param slots the number of requests that it runs at once
 * @param draining whether it asks for no new work
 * @param startedAtMillis the Unix time in ms of its start; a target that starts again under its old
 *     id has a later one
 * @param sequence the number of this report since its start
 */
public record TargetEntry(
    Target target,
    PoolId pool,
    int slots,
    boolean draining,
    OptionalLong startedAtMillis,
    long sequence) {}
