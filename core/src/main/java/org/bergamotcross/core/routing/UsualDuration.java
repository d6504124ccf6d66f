package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks how long the requests of each route take at a target without a queue.
 *
 * <p>Answers queues at targets, which an instance sees only as longer durations: the estimate is a
 * low quantile of the durations and rises slowly, so that it stays near the service time while
 * requests wait.
 */
public final class UsualDuration {
  /** Half of the responses would be a median, which rises with the queues. */
  static final double QUANTILE = 0.3;

  /** The relative change of the estimate by one response, once many are known. */
  static final double MIN_STEP = 0.02;

  private static final class Estimate {
    private double nanos;
    private int count;

    private Estimate(double nanos) {
      this.nanos = nanos;
    }

    private void add(double value) {
      count++;
      double step = Math.max(MIN_STEP, 1.0 / (count + 1));
      nanos *= value < nanos ? 1 - step * (1 - QUANTILE) : 1 + step * QUANTILE;
    }
  }

  private final Map<String, Estimate> estimates = new HashMap<>();

  /** Creates a tracker without any duration. */
  public UsualDuration() {}

  /**
   * Records the duration of a response.
   *
   * @param route the name of the route
   * @param duration the time from the send to the head of the response
   */
  public void record(String route, Duration duration) {
    estimates
        .computeIfAbsent(route, name -> new Estimate((double) duration.toNanos()))
        .add((double) duration.toNanos());
  }

  /**
   * Returns the usual duration of a route.
   *
   * @param route the name of the route
   * @return the duration, empty until the first response
   */
  public Optional<Duration> of(String route) {
    return Optional.ofNullable(estimates.get(route))
        .map(estimate -> Duration.ofNanos((long) estimate.nanos));
  }
}
