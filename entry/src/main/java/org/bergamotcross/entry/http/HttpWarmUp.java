package org.bergamotcross.entry.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;

/**
 * Loads the classes of the HTTP server and client before the first caller is accepted.
 *
 * <p>Without it, the first request of a new process took 0.6 to 1.6 s on a busy machine, which
 * looked like a stalled target and caused a healthy one to be ejected.
 */
final class HttpWarmUp {
  private static final int REQUEST_COUNT = 3;
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private HttpWarmUp() {}

  /**
   * Sends requests to this process's operations listener and ignores failures.
   *
   * @param system the actor system
   * @param operations the address of the operations listener, which must already be open
   */
  static void run(ActorSystem system, InetSocketAddress operations) {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    try {
      for (int i = 0; i < REQUEST_COUNT && System.nanoTime() - end < 0; i++) {
        Source.single(HttpRequest.GET("/health"))
            .via(
                Http.get(system)
                    .connectionTo(operations.getAddress().getHostAddress())
                    .toPort(operations.getPort())
                    .http())
            .mapAsync(1, response -> response.entity().toStrict(1_000, system))
            .runWith(Sink.ignore(), system)
            .toCompletableFuture()
            .get(end - System.nanoTime(), TimeUnit.NANOSECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      // Warming up is optional; requests of callers report a listener that does not work.
      return;
    }
  }
}
