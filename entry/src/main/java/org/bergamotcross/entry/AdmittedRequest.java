package org.bergamotcross.entry;

import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.Route;
import org.bergamotcross.kernel.Now;

/**
 * A request that may run.
 *
 * @param request the request
 * @param organisation whose request it is
 * @param key the key it came with, so that it ends when the key is withdrawn while it waits
 * @param route the route
 * @param idempotent whether the route says that the method may be repeated
 * @param claimed whether an idempotency key is claimed for it, so that admission must be told the
 *     end
 * @param deadline when the caller stops waiting
 */
public record AdmittedRequest(
    CallerRequest request,
    OrganisationId organisation,
    KeyHash key,
    Route route,
    boolean idempotent,
    boolean claimed,
    Now deadline) {}
