package org.bergamotcross.standin;

import java.util.Set;

/**
 * Selects the requests to the platform that a fault affects.
 *
 * @param operation reads, appends or both
 * @param instances the clients by the name they send in {@code X-Instance}; empty for all clients
 */
public record FaultScope(Operation operation, Set<String> instances) {
  /** All requests of all clients. */
  public static final FaultScope ALL_REQUESTS = new FaultScope(Operation.BOTH, Set.of());

  /** Copies the set. */
  public FaultScope {
    instances = Set.copyOf(instances);
  }

  /**
   * Selects all requests of the given clients.
   *
   * @param instances the names that the clients send in {@code X-Instance}
   * @return the scope
   */
  public static FaultScope forInstances(String... instances) {
    return new FaultScope(Operation.BOTH, Set.of(instances));
  }

  /** The kinds of requests. */
  public enum Operation {
    /** Reads of streams and of the instance list. */
    READS,
    /** Appends to streams. */
    APPENDS,
    /** All requests. */
    BOTH;

    boolean includes(Operation other) {
      return this == BOTH || this == other;
    }
  }
}
