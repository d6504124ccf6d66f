package org.bergamotcross.systemtest;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

/** Polls conditions and fails the test if they don't hold as expected. */
final class Await {
  private static final long POLL_INTERVAL_NANOS = 20_000_000;

  private Await() {}

  /** Waits until a condition is true; fails if it is still false after the timeout. */
  static void until(String description, Duration timeout, Callable<Boolean> condition)
      throws Exception {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (!condition.call()) {
      if (System.nanoTime() - deadline > 0) {
        throw new AssertionError("condition not met within " + timeout + ": " + description);
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }

  /** Polls a condition for the whole duration; fails as soon as it is false. */
  static void holdsFor(String description, Duration duration, Callable<Boolean> condition)
      throws Exception {
    long deadline = System.nanoTime() + duration.toNanos();
    while (System.nanoTime() - deadline < 0) {
      if (!condition.call()) {
        throw new AssertionError("condition no longer holds: " + description);
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }
}
