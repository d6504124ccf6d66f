package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.kernel.ClockReading;

/** Tracks the mean latency of each route and derives its stall threshold. */
public final class RouteLatency {
  /** Exceeds the latency of any short request at a healthy target, even on a new connection. */
  static final Duration MIN_STALL_THRESHOLD = Duration.ofMillis(700);

  /** Used until the first latency of a route is known. */
  static final Duration DEFAULT_STALL_THRESHOLD = Duration.ofSeconds(2);

  /** Latencies vary by a factor of two to three; one request in a hundred takes longer. */
  static final double STALL_FACTOR = 3.5;

  private static final double EWMA_WEIGHT = 0.1;

  private final Map<String, Double> meanNanos = new HashMap<>();

  /** Creates a tracker without any latency. */
  public RouteLatency() {}

  /**
   * Records the latency of a response.
   *
   * @param route the name of the route
   * @param latency the time from the send to the head of the response
   */
  public void recordLatency(String route, Duration latency) {
    meanNanos.merge(
        route,
        (double) latency.toNanos(),
        (known, newest) -> known * (1 - EWMA_WEIGHT) + newest * EWMA_WEIGHT);
  }

  /**
   * Returns the mean latency of a route.
   *
   * @param route the name of the route
   * @return the mean, empty until the first latency is known
   */
  public Optional<Duration> mean(String route) {
    return Optional.ofNullable(meanNanos.get(route))
        .map(nanos -> Duration.ofNanos(nanos.longValue()));
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
   * Returns whether an attempt counts as stalled.
   *
   * @param route the name of the route
   * @param startedAt when it was sent
   * @param now the current time
   * @return whether it has reached the stall threshold
   */
  public boolean isStalled(String route, ClockReading startedAt, ClockReading now) {
    return now.since(startedAt).compareTo(stallThreshold(route)) >= 0;
  }
}
