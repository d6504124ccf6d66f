package org.bergamotcross.entry;

import java.util.Optional;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Route;
import org.bergamotcross.kernel.Now;

/**
 * A request that may run.
 *
 * @param request the request
 * @param organisation whose request it is; nothing on a route that needs no key
 * @param key the key it came with, so that it ends when the key is withdrawn while it waits
 * @param pool the pool that the route chose for it
 * @param priority its rank in the queue of the pool; 0 is served first
 * @param route the route
 * @param idempotent whether the route says that the method may be repeated
 * @param claimed whether an idempotency key is claimed for it, so that admission must be told the
 *     end
 * @param deadline when the caller stops waiting
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
    Now deadline) {}
