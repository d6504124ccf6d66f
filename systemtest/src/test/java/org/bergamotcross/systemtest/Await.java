package org.bergamotcross.systemtest;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

/** Waits for a condition, and fails when it does not come true in time. */
final class Await {
  private static final long STEP_NANOS = 20_000_000;

  private Await() {}

  static void until(String what, Duration limit, Callable<Boolean> condition) throws Exception {
    long end = System.nanoTime() + limit.toNanos();
    while (!condition.call()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError("not within " + limit + ": " + what);
      }
      LockSupport.parkNanos(STEP_NANOS);
    }
  }

  /** Lets time pass while a condition is observed to stay true. */
  static void during(String what, Duration span, Callable<Boolean> condition) throws Exception {
    long end = System.nanoTime() + span.toNanos();
    while (System.nanoTime() - end < 0) {
      if (!condition.call()) {
        throw new AssertionError("did not stay true: " + what);
      }
      LockSupport.parkNanos(STEP_NANOS);
    }
  }
}
