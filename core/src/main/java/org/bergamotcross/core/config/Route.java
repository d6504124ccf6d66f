package org.bergamotcross.core.config;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A route from a path prefix to one pool, or to several pools by weight.
 *
 * @param name the name, {@code <team>/<name>}
 * @param host the host name of the requests in lower case; empty for all hosts
 * @param path the path prefix; without a trailing slash it matches whole segments, with one it
 *     matches everything below it
 * @param pools the pools, at least one
 * @param methods the accepted HTTP methods in upper case, or {@link #ANY_METHOD}
 * @param idempotentMethods the methods that may be repeated without a further effect, or {@link
 *     #ANY_METHOD}
 * @param organisations the organisations that may use the route; empty when it is open to all
 * @param requiresKey whether a request must present a key
 * @param limits the limits of one request
 */
public record Route(
    String name,
    Optional<String> host,
    String path,
    List<WeightedPool> pools,
    Set<String> methods,
    Set<String> idempotentMethods,
    Set<OrganisationId> organisations,
    boolean requiresKey,
    Limits limits) {
  /** Matches every method in a set of methods. */
  public static final String ANY_METHOD = "*";

  /**
   * The limits of one request.
   *
   * @param timeout the maximum duration of a request, even if the caller allows more
   * @param maxAttempts the maximum number of targets to which one request is sent, at least 1
   * @param priority the priority among the requests of a pool; 0 is served first
   * @param latencyObjective the time within which callers want their response, from their first
   *     attempt; empty when the settings specify none
   */
  public record Limits(
      Duration timeout, int maxAttempts, int priority, Optional<Duration> latencyObjective) {
    /** The maximum number of attempts when the settings specify none. */
    public static final int DEFAULT_ATTEMPTS = 4;

    /** The priority when the settings specify none. */
    public static final int DEFAULT_PRIORITY = 1;

    /**
     * Creates limits without a latency objective.
     *
     * @param timeout the maximum duration of a request, even if the caller allows more
     * @param maxAttempts the maximum number of targets to which one request is sent, at least 1
     * @param priority the priority among the requests of a pool; 0 is served first
     */
    public Limits(Duration timeout, int maxAttempts, int priority) {
      this(timeout, maxAttempts, priority, Optional.empty());
    }
  }

  public Route {
    pools = List.copyOf(pools);
    methods = Set.copyOf(methods);
    idempotentMethods = Set.copyOf(idempotentMethods);
    organisations = Set.copyOf(organisations);
  }

  /**
   * Creates a route for all hosts to one pool that requires a key.
   *
   * @param name the name
   * @param path the path prefix
   * @param pool the pool
   * @param methods the accepted HTTP methods
   * @param idempotent the methods that may be repeated
   * @param organisations the organisations that may use the route; empty when it is open to all
   * @param timeout the maximum duration of a request
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
  public boolean allowsOrganisation(OrganisationId organisation) {
    return organisations.isEmpty() || organisations.contains(organisation);
  }

  /**
   * Tells whether the route accepts a method.
   *
   * @param method the HTTP method in upper case
   * @return whether it does
   */
  public boolean acceptsMethod(String method) {
    return methods.contains(ANY_METHOD) || methods.contains(method);
  }

  /**
   * Tells whether a request may be repeated without a further effect.
   *
   * @param method the HTTP method in upper case
   * @return whether the method is listed as idempotent
   */
  public boolean isIdempotent(String method) {
    return idempotentMethods.contains(ANY_METHOD) || idempotentMethods.contains(method);
  }

  /**
   * Chooses the pool of one request at random by weight.
   *
   * @param draw a random number from 0 (inclusive) to 1 (exclusive)
   * @return the pool; the share of a full or failing pool is not passed on to another one
   */
  public PoolId choosePool(double draw) {
    double remaining = draw * pools.stream().mapToDouble(WeightedPool::weight).sum();
    for (WeightedPool weighted : pools) {
      remaining -= weighted.weight();
      if (remaining < 0) {
        return weighted.pool();
      }
    }
    return pools.getLast().pool();
  }
}
