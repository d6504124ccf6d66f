package org.bergamotcross.core.routing;

import java.time.Duration;
import org.bergamotcross.kernel.Now;

/** Counts events; each one counts less as it gets older. */
final class DecayingCount {
  /** Long enough to see a few requests of a quiet pool, short enough to forget a short fault. */
  static final Duration TIME_CONSTANT = Duration.ofSeconds(10);

  private double count;
  private long updatedAtNanos;

  void increment(Now now) {
    count = value(now) + 1;
    updatedAtNanos = now.monotonicNanos();
  }

  double value(Now now) {
    return count == 0
        ? 0
        : count
            * Math.exp((updatedAtNanos - now.monotonicNanos()) / (double) TIME_CONSTANT.toNanos());
  }

  void reset() {
    count = 0;
  }
}
