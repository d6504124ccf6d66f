package org.bergamotcross.entry;

import java.time.Duration;
import org.bergamotcross.kernel.Settings;

/**
 * The times of a graceful shutdown, measured from the shutdown signal.
 *
 * @param accept how long new requests are still accepted
 * @param limit when requests that are still open are cut
 */
record ShutdownSchedule(Duration accept, Duration limit) {
  /** Covers the refusals that are written after the limit, and the exit of the process. */
  static final Duration EXIT_TIME = Duration.ofMillis(600);

  /** With a shorter grace period, this fraction of it remains for open requests. */
  private static final int MIN_LIMIT_DIVISOR = 2;

  /** Leaves requests that were accepted last as much time as there was for accepting them. */
  private static final int ACCEPT_DIVISOR = 2;

  /**
   * Derives the times from the settings: the limit lies before the end of the grace period, and
   * requests are accepted for at most half of the time until the limit.
   *
   * @param settings the settings of the instance
   * @return the times
   */
  static ShutdownSchedule of(Settings settings) {
    Duration grace = settings.value(EntrySettings.STOP_GRACE);
    Duration beforeKill = longer(grace.minus(EXIT_TIME), grace.dividedBy(MIN_LIMIT_DIVISOR));
    Duration limit =
        shorter(Duration.ofMillis(settings.value(EntrySettings.STOP_LIMIT_MS)), beforeKill);
    Duration accept = Duration.ofMillis(settings.value(EntrySettings.STOP_ACCEPT_MS));
    return new ShutdownSchedule(shorter(accept, limit.dividedBy(ACCEPT_DIVISOR)), limit);
  }

  private static Duration shorter(Duration a, Duration b) {
    return a.compareTo(b) <= 0 ? a : b;
  }

  private static Duration longer(Duration a, Duration b) {
    return a.compareTo(b) >= 0 ? a : b;
  }
}
