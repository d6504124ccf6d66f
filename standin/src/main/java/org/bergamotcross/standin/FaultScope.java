package org.bergamotcross.standin;

import java.util.Set;

/**
 * Which requests to the platform a fault concerns.
 *
 * @param direction reads, appends or both
 * @param instances the clients, as they name themselves in {@code X-Instance}; empty for all
 */
public record FaultScope(Operation operation, Set<String> instances) {
  /** All requests of all clients. */
  public static final FaultScope ALL_REQUESTS = new FaultScope(Operation.BOTH, Set.of());

  /** Copies the set. */
  public FaultScope {
    instances = Set.copyOf(instances);
  }

  /**
   * Returns the scope of some clients.
   *
   * @param instances the clients
   * @return all their requests
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
