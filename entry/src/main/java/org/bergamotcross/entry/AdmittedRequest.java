package org.bergamotcross.entry;

import java.util.Optional;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Route;
import org.bergamotcross.kernel.ClockReading;

/**
 * A request that passed admission and may be sent to a target.
 *
 * @param request the request as received from the caller
 * @param organisation the organisation that the key belongs to; empty on a route that needs no key
 * @param key the hash of the presented key; the request is refused when that key is withdrawn while
 *     it is queued
 * @param pool the pool selected by the route
 * @param priority the priority in the queue of the pool; 0 is served first
 * @param route the matched route
 * @param idempotent whether the route declares the method safe to repeat
 * @param claimed whether an idempotency key is claimed for the request, so that its end must be
 *     reported to admission
 * @param deadline the time at which the caller stops waiting
 */
public record AdmittedRequest(
    CallerRequest request,
    Optional<OrganisationId> organisation,
    Optional<KeyHash> key,
    PoolId pool,
    int priority,
    Route route,
    boolean idempotent,
    boolean claimed,
    ClockReading deadline) {}
