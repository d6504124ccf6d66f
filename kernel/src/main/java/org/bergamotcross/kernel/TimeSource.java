package org.bergamotcross.kernel;

/** Reads the current time; duty threads read it once per message. */
@FunctionalInterface
public interface TimeSource {

  /**
   * Reads the monotonic clock and the wall clock together.
   *
   * @return the current time
   */
  ClockReading now();

  /**
   * Returns a time source that reads the system clocks.
   *
   * @return a source based on {@link System#nanoTime()} and {@link System#currentTimeMillis()}
   */
  static TimeSource system() {
    return () -> new ClockReading(System.nanoTime(), System.currentTimeMillis());
  }
}
