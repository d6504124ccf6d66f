package org.bergamotcross.core.routing;

import java.time.Duration;
import org.bergamotcross.kernel.Now;

/** Counts events; each one counts less as it gets older. */
final class DecayingCount {
  /** Long enough to see a few requests of a quiet pool, short enough to forget a short fault. */
  static final Duration MEAN_AGE = Duration.ofSeconds(10);

  private double count;
  private long lastNanos;

  void add(Now now) {
    count = value(now) + 1;
    lastNanos = now.monotonicNanos();
  }

  double value(Now now) {
    return count == 0
        ? 0
        : count * Math.exp((lastNanos - now.monotonicNanos()) / (double) MEAN_AGE.toNanos());
  }

  void reset() {
    count = 0;
  }
}
