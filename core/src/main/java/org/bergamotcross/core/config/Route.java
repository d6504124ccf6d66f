package org.bergamotcross.core.config;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Sends the requests under a path to a pool, or to several pools in fixed proportions.
 *
 * @param name the name, {@code <team>/<name>}
 * @param host the host name of the requests in lower case; empty for all hosts
 * @param path the path prefix; without a slash at its end it matches whole segments, with one it
 *     matches what lies below it
 * @param pools the pools, at least one
 * @param methods the HTTP methods that the route takes, in upper case, or {@link #ANY_METHOD}
 * @param idempotent the methods that may be repeated without a further effect, or {@link
 *     #ANY_METHOD}
 * @param organisations who may use the route; empty when it is open to all
 * @param needsKey whether a request must present a key
 * @param limits what one request may use
 */
public record Route(
    String name,
    Optional<String> host,
    String path,
    List<WeightedPool> pools,
    Set<String> methods,
    Set<String> idempotent,
    Set<OrganisationId> organisations,
    boolean needsKey,
    Limits limits) {
  /** Stands for all methods in a set of methods. */
  public static final String ANY_METHOD = "*";

  /**
   * What one request of a route may use.
   *
   * @param timeout the longest time for a request, also when the caller allows more
   * @param maxAttempts the number of targets to which one request may be sent, at least 1
   * @param priority the rank among the requests of a pool; 0 is served first
   */
  public record Limits(Duration timeout, int maxAttempts, int priority) {
    /** The attempts of a route whose settings name no number. */
    public static final int DEFAULT_ATTEMPTS = 4;

    /** The rank of a route whose settings name none. */
    public static final int DEFAULT_PRIORITY = 1;
  }

  /** Copies the collections. */
  public Route {
    pools = List.copyOf(pools);
    methods = Set.copyOf(methods);
    idempotent = Set.copyOf(idempotent);
    organisations = Set.copyOf(organisations);
  }

  /**
   * Creates a route of all hosts to one pool, for which a key is needed.
   *
   * @param name the name
   * @param path the path prefix
   * @param pool the pool
   * @param methods the HTTP methods that the route takes
   * @param idempotent the methods that may be repeated
   * @param organisations who may use the route; empty when it is open to all
   * @param timeout the longest time for a request
   */
  public Route(
      String name,
      String path,
      PoolId pool,
      Set<String> methods,
      Set<String> idempotent,
      Set<OrganisationId> organisations,
      Duration timeout) {
    this(
        name,
        Optional.empty(),
        path,
        List.of(new WeightedPool(pool, 1)),
        methods,
        idempotent,
        organisations,
        true,
        new Limits(timeout, Limits.DEFAULT_ATTEMPTS, Limits.DEFAULT_PRIORITY));
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

  /**
   * Tells whether the route takes a method.
   *
   * @param method the HTTP method in upper case
   * @return whether the method is listed
   */
  public boolean takes(String method) {
    return methods.contains(ANY_METHOD) || methods.contains(method);
  }

  /**
   * Tells whether a request may be repeated without a further effect.
   *
   * @param method the HTTP method in upper case
   * @return whether the method is listed as idempotent
   */
  public boolean isIdempotent(String method) {
    return idempotent.contains(ANY_METHOD) || idempotent.contains(method);
  }

  /**
   * Chooses the pool of one request in proportion to the weights.
   *
   * @param draw a random number from 0 to 1, without 1
   * @return the pool; a full or failing pool does not pass its share to another
   */
  public PoolId pool(double draw) {
    double left = draw * pools.stream().mapToDouble(WeightedPool::weight).sum();
    for (WeightedPool part : pools) {
      left -= part.weight();
      if (left < 0) {
        return part.pool();
      }
    }
    return pools.getLast().pool();
  }
}
