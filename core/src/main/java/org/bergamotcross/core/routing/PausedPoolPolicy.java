package org.bergamotcross.core.routing;

import java.time.Duration;
import org.bergamotcross.kernel.ClockReading;

/**
 * Decides whether a request waits while all targets of its pool pause.
 *
 * <p>Answers the load of a pool that rejects requests faster than it serves them: a request that
 * waits for a long pause returns together with all others and leaves its caller less time, while a
 * refused caller learns when to come back.
 */
public final class PausedPoolPolicy {
  /** Covers the pause after a rejection without Retry-After. */
  static final Duration MAX_WAIT = Duration.ofMillis(300);

  /** A request waits for at most this fraction of the time that its caller has left. */
  private static final int MIN_TIME_LEFT_FACTOR = 4;

  private PausedPoolPolicy() {}

  /**
   * Returns whether to keep a request until a pause ends.
   *
   * @param pauseEnd when the first pause ends
   * @param deadline when the caller stops waiting
   * @param now the current time
   * @return whether the request waits; otherwise it is refused at once
   */
  public static boolean isWorthWaiting(
      ClockReading pauseEnd, ClockReading deadline, ClockReading now) {
    Duration wait = pauseEnd.since(now);
    return wait.compareTo(MAX_WAIT) <= 0
        && wait.multipliedBy(MIN_TIME_LEFT_FACTOR).compareTo(deadline.since(now)) <= 0;
  }
}
