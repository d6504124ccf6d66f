package org.bergamotcross.entry.path;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Polls conditions that other threads change. */
final class Polling {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private Polling() {}

  static void until(String what, BooleanSupplier condition) {
    long start = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - start > TIMEOUT.toNanos()) {
        throw new AssertionError("not within " + TIMEOUT + ": " + what);
      }
      LockSupport.parkNanos(Duration.ofMillis(1).toNanos());
    }
  }
}
