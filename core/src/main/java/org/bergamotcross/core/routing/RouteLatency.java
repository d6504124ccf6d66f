package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.bergamotcross.kernel.Now;

/** Learns how long the requests of each route usually take, to tell a stalled one. */
public final class RouteLatency {
  /** Slower than any answer of a sound target to a short request, also on a new connection. */
  static final Duration MIN_STALL_THRESHOLD = Duration.ofMillis(700);

  /** Used until the first answers of a route are known. */
  static final Duration DEFAULT_STALL_THRESHOLD = Duration.ofSeconds(2);

  /** Work times spread by a factor of two to three; one in a hundred takes longer. */
  static final double STALL_FACTOR = 3.5;

  private static final double EWMA_WEIGHT = 0.1;

  private final Map<String, Double> meanNanos = new HashMap<>();

  /** Creates the durations without any answer. */
  public RouteLatency() {}

  /**
   * Takes an answer.
   *
   * @param route the name of the route
   * @param taken the time from the send to the head of the response
   */
  public void recordLatency(String route, Duration taken) {
    meanNanos.merge(
        route,
        (double) taken.toNanos(),
        (known, newest) -> known * (1 - EWMA_WEIGHT) + newest * EWMA_WEIGHT);
  }

  /**
   * Returns the time after which a request counts as stalled.
   *
   * @param route the name of the route
   * @return the threshold
   */
  public Duration stallThreshold(String route) {
    Double mean = meanNanos.get(route);
    if (mean == null) {
      return DEFAULT_STALL_THRESHOLD;
    }
    Duration threshold = Duration.ofNanos((long) (mean * STALL_FACTOR));
    return threshold.compareTo(MIN_STALL_THRESHOLD) < 0 ? MIN_STALL_THRESHOLD : threshold;
  }

  /**
   * Tells whether an attempt counts as stalled.
   *
   * @param route the name of the route
   * @param startedAt when it was sent
   * @param now the present time
   * @return whether it is older than the threshold
   */
  public boolean isStalled(String route, Now startedAt, Now now) {
    return now.since(startedAt).compareTo(stallThreshold(route)) >= 0;
  }
}
