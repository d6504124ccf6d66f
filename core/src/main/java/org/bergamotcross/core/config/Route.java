package org.bergamotcross.core.config;

import java.time.Duration;
import java.util.Set;

/**
 * Sends the requests under a path to a pool.
 *
 * @param name the name, {@code <team>/<name>}
 * @param path the path prefix; it matches whole segments
 * @param pool the pool
 * @param methods the HTTP methods that the route takes, in upper case
 * @param idempotent the methods that may be repeated without a further effect
 * @param organisations who may use the route; empty when it is open to all
 * @param timeout the longest time for a request, also when the caller allows more
 */
public record Route(
    String name,
    String path,
    PoolId pool,
    Set<String> methods,
    Set<String> idempotent,
    Set<OrganisationId> organisations,
    Duration timeout) {

  /** Copies the sets. */
  public Route {
    methods = Set.copyOf(methods);
    idempotent = Set.copyOf(idempotent);
    organisations = Set.copyOf(organisations);
  }

  /**
   * Tells whether an organisation may use the route.
   *
   * @param organisation the organisation of the caller's key
   * @return whether the route is open to all or to this organisation
   */
  public boolean allows(OrganisationId organisation) {
    return organisations.isEmpty() || organisations.contains(organisation);
  }
}
