package org.bergamotcross.kernel;

import java.time.Duration;

/**
 * The present time as one argument: a monotonic reading and the wall clock taken together.
 *
 * <p>Durations, leases and timeouts use the monotonic reading only, so that a step of the wall
 * clock changes no decision. The wall clock is for log lines and for the deadline header that
 * targets read.
 *
 * @param monotonicNanos nanoseconds of a clock that never steps; only differences have a meaning
 * @param wallMillis milliseconds since the Unix epoch
 */
public record Now(long monotonicNanos, long wallMillis) implements Comparable<Now> {

  /**
   * Creates a reading in which both clocks show the same time, for tests and models.
   *
   * @param millis milliseconds on both clocks
   * @return the reading
   */
  public static Now ofMillis(long millis) {
    return new Now(millis * 1_000_000L, millis);
  }

  /**
   * Returns the time that has passed since an earlier reading.
   *
   * @param earlier the earlier reading
   * @return the monotonic difference; negative when {@code earlier} is in fact later
   */
  public Duration since(Now earlier) {
    return Duration.ofNanos(monotonicNanos - earlier.monotonicNanos);
  }

  /**
   * Returns the reading after the given time.
   *
   * @param duration the time to add to both clocks
   * @return the later reading
   */
  public Now plus(Duration duration) {
    return new Now(monotonicNanos + duration.toNanos(), wallMillis + duration.toMillis());
  }

  /**
   * Tells whether this reading is before another one on the monotonic clock.
   *
   * @param other the reading to compare with
   * @return whether this reading is earlier
   */
  public boolean isBefore(Now other) {
    return monotonicNanos - other.monotonicNanos < 0;
  }

  /**
   * Tells whether this reading is after another one on the monotonic clock.
   *
   * @param other the reading to compare with
   * @return whether this reading is later
   */
  public boolean isAfter(Now other) {
    return monotonicNanos - other.monotonicNanos > 0;
  }

  @Override
  public int compareTo(Now other) {
    return Long.compare(monotonicNanos - other.monotonicNanos, 0);
  }
}
