package org.bergamotcross.entry.path;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Polls conditions that other threads change. */
final class Polling {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private Polling() {}

  static void until(String what, BooleanSupplier condition) {
    until(what, TIMEOUT, condition);
  }

  static void until(String what, Duration timeout, BooleanSupplier condition) {
    long start = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - start > timeout.toNanos()) {
        throw new AssertionError("not within " + timeout + ": " + what);
      }
      LockSupport.parkNanos(Duration.ofMillis(1).toNanos());
    }
  }
}
