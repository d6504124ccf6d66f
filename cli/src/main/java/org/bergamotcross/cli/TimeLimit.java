package org.bergamotcross.cli;

import java.time.Duration;

/** Limits the time for which a command retries. */
final class TimeLimit {
  private static final Duration RETRY_PAUSE = Duration.ofMillis(100);

  private final long endNanos;

  private TimeLimit(long endNanos) {
    this.endNanos = endNanos;
  }

  static TimeLimit startingNow(Duration duration) {
    return new TimeLimit(System.nanoTime() + duration.toNanos());
  }

  boolean hasElapsed() {
    return System.nanoTime() - endNanos >= 0;
  }

  /** Sleeps before the next attempt; returns whether there is time left for one. */
  boolean pauseBeforeRetry() {
    try {
      Thread.sleep(RETRY_PAUSE);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
    return !hasElapsed();
  }
}
