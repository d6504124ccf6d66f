package org.bergamotcross.kernel;

/** Reads the present time; duty threads read it once for each message. */
@FunctionalInterface
public interface TimeSource {

  /**
   * Reads the present time.
   *
   * @return both clocks, read together
   */
  Now now();

  /**
   * Returns the time source of the running machine.
   *
   * @return a source over {@link System#nanoTime()} and {@link System#currentTimeMillis()}
   */
  static TimeSource system() {
    return () -> new Now(System.nanoTime(), System.currentTimeMillis());
  }
}
