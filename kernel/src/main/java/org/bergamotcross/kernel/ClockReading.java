package org.bergamotcross.kernel;

import java.time.Duration;

/**
 * Holds readings of the monotonic clock and of the wall clock that were taken together.
 *
 * <p>Durations, leases and timeouts use only the monotonic reading, so that a step of the wall
 * clock changes no decision. The wall clock is used in log lines and in the deadline header sent to
 * targets.
 *
 * @param monotonicNanos nanoseconds of the monotonic clock; only differences are meaningful
 * @param wallMillis milliseconds since the Unix epoch
 */
public record ClockReading(long monotonicNanos, long wallMillis)
    implements Comparable<ClockReading> {

  /**
   * Creates a reading in which both clocks show the same time, for tests and simulations.
   *
   * @param millis milliseconds on both clocks
   * @return the reading
   */
  public static ClockReading ofMillis(long millis) {
    return new ClockReading(millis * 1_000_000L, millis);
  }

  /**
   * Returns the time elapsed since an earlier reading.
   *
   * @param earlier the earlier reading
   * @return the difference on the monotonic clock; negative if {@code earlier} is later than this
   */
  public Duration since(ClockReading earlier) {
    return Duration.ofNanos(monotonicNanos - earlier.monotonicNanos);
  }

  /**
   * Returns this reading advanced by a duration.
   *
   * @param duration the duration to add to both clocks
   * @return the advanced reading
   */
  public ClockReading plus(Duration duration) {
    return new ClockReading(monotonicNanos + duration.toNanos(), wallMillis + duration.toMillis());
  }

  /**
   * Returns whether this reading is before another one on the monotonic clock.
   *
   * @param other the reading to compare with
   * @return whether this reading is earlier
   */
  public boolean isBefore(ClockReading other) {
    return monotonicNanos - other.monotonicNanos < 0;
  }

  /**
   * Returns whether this reading is after another one on the monotonic clock.
   *
   * @param other the reading to compare with
   * @return whether this reading is later
   */
  public boolean isAfter(ClockReading other) {
    return monotonicNanos - other.monotonicNanos > 0;
  }

  @Override
  public int compareTo(ClockReading other) {
    return Long.compare(monotonicNanos - other.monotonicNanos, 0);
  }
}
