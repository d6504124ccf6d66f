package org.bergamotcross.core.routing;

import java.time.Duration;
import org.bergamotcross.kernel.ClockReading;

/** A count of events with exponential decay. */
final class DecayingCount {
  /**
   * Spans a few requests of a pool with little traffic, yet lets the evidence of a short fault
   * decay.
   */
  static final Duration TIME_CONSTANT = Duration.ofSeconds(10);

  private double count;
  private long updatedAtNanos;

  void increment(ClockReading now) {
    count = value(now) + 1;
    updatedAtNanos = now.monotonicNanos();
  }

  double value(ClockReading now) {
    return count == 0
        ? 0
        : count
            * Math.exp((updatedAtNanos - now.monotonicNanos()) / (double) TIME_CONSTANT.toNanos());
  }

  void reset() {
    count = 0;
  }
}
