package org.bergamotcross.entry.path;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions that other threads bring about. */
final class Polling {
  private static final Duration LIMIT = Duration.ofSeconds(10);

  private Polling() {}

  static void until(String what, BooleanSupplier condition) {
    long start = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - start > LIMIT.toNanos()) {
        throw new AssertionError("not within " + LIMIT + ": " + what);
      }
      LockSupport.parkNanos(Duration.ofMillis(1).toNanos());
    }
  }
}
