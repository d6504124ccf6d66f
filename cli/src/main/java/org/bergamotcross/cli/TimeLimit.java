package org.bergamotcross.cli;

import java.time.Duration;

/** How long a command may still try. */
final class TimeLimit {
  private static final Duration PAUSE = Duration.ofMillis(100);

  private final long endNanos;

  private TimeLimit(long endNanos) {
    this.endNanos = endNanos;
  }

  static TimeLimit in(Duration duration) {
    return new TimeLimit(System.nanoTime() + duration.toNanos());
  }

  boolean isOver() {
    return System.nanoTime() - endNanos >= 0;
  }

  /** Pauses before the next try; returns whether there is time for one. */
  boolean pause() {
    try {
      Thread.sleep(PAUSE);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
    return !isOver();
  }
}
