package org.bergamotcross.core.admission;

import java.util.Optional;
import org.bergamotcross.kernel.ClockReading;

/** Estimates requests per second by an exponential moving average with a time constant of 1 s. */
final class DemandEstimate {
  private static final double TIME_CONSTANT_SECONDS = 1.0;

  private double requestsPerSecond;
  private Optional<ClockReading> last = Optional.empty();

  void recordRequest(ClockReading now) {
    decay(now);
    requestsPerSecond += 1 / TIME_CONSTANT_SECONDS;
  }

  double requestsPerSecond(ClockReading now) {
    decay(now);
    return requestsPerSecond;
  }

  private void decay(ClockReading now) {
    double seconds = last.map(at -> now.since(at).toNanos() / 1e9).orElse(0.0);
    requestsPerSecond *= Math.exp(-Math.max(0, seconds) / TIME_CONSTANT_SECONDS);
    last = Optional.of(now);
  }
}
