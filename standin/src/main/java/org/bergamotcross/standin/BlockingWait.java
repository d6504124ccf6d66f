package org.bergamotcross.standin;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Blocks until a duty has responded; must not be called on the thread of a duty. */
final class BlockingWait {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private BlockingWait() {}

  static <T> T await(CompletableFuture<T> future) {
    try {
      return future.get(TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for the stand-in", e);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("the stand-in did not respond: " + e, e);
    }
  }
}
