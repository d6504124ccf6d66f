package org.bergamotcross.core.membership;

import java.time.Duration;
import java.util.OptionalLong;
import org.bergamotcross.kernel.ClockReading;

/**
 * Detects that the monotonic clock has stopped, as it does while a machine is suspended.
 *
 * <p>The wall clock advances during a suspension. A forward step of the wall clock looks the same,
 * so a caller should react only by giving up something that it can regain.
 */
public final class SuspensionDetector {
  /** Exceeds the time for which a thread is commonly descheduled between reading the two clocks. */
  static final Duration SCHEDULING_TOLERANCE = Duration.ofMillis(200);

  private static final long NANOS_PER_MILLI = 1_000_000;

  private OptionalLong lastWallOffsetMillis = OptionalLong.empty();

  /** Creates a detector without a previous reading. */
  public SuspensionDetector() {}

  /**
   * Compares the two clocks with the previous reading.
   *
   * @param now the current time
   * @return how long the monotonic clock appears to have stopped since the previous reading, or
   *     zero
   */
  public Duration detectPause(ClockReading now) {
    long wallOffsetMillis = now.wallMillis() - now.monotonicNanos() / NANOS_PER_MILLI;
    Duration pause =
        lastWallOffsetMillis.isPresent()
            ? Duration.ofMillis(wallOffsetMillis - lastWallOffsetMillis.getAsLong())
            : Duration.ZERO;
    lastWallOffsetMillis = OptionalLong.of(wallOffsetMillis);
    return pause.compareTo(SCHEDULING_TOLERANCE) > 0 ? pause : Duration.ZERO;
  }
}
