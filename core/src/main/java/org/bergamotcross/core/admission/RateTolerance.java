package org.bergamotcross.core.admission;

import java.time.Duration;
import org.bergamotcross.core.config.Organisation;

/**
 * How far an organisation may exceed its rate and burst within a time window.
 *
 * @param window the length of the window
 * @param share the tolerated excess as a fraction of {@code rate x window + burst}
 * @param requests the further tolerated excess, in requests
 */
public record RateTolerance(Duration window, double share, double requests) {
  /** No tolerance: rate and burst must not be exceeded. */
  public static final RateTolerance NONE = new RateTolerance(Duration.ofSeconds(5), 0, 0);

  /**
   * The fraction of the excess that buckets use. The rest covers requests in transit and clock
   * differences.
   */
  private static final double USED_FRACTION = 0.5;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Returns the length of the window in seconds. */
  double windowSeconds() {
    return window.toNanos() / NANOS_PER_SECOND;
  }

  /** Returns the burst plus the fraction of the excess that buckets use, in requests. */
  double toleratedBurst(Organisation organisation) {
    double excess =
        share * (organisation.rate() * windowSeconds() + organisation.burst()) + requests;
    return organisation.burst() + USED_FRACTION * excess;
  }
}
