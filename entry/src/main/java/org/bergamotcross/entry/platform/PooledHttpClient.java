package org.bergamotcross.entry.platform;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.apache.pekko.util.ByteString;
import scala.concurrent.duration.FiniteDuration;

/**
 * Sends calls to one server over pooled connections, each call within a time limit.
 *
 * <p>Nothing is repeated here: a caller that repeats decides with what it knows.
 */
public final class PooledHttpClient {
  // Failure domains are about 1 ms apart, so a second is enough to call a connection dead.
  private static final long CONNECT_TIMEOUT_MS = 1_000;

  /**
   * A whole answer.
   *
   * @param status the HTTP status
   * @param body the body
   */
  public record Response(int status, ByteString body) {}

  private final ActorSystem system;
  private final Http http;
  private final ConnectionPoolSettings pool;
  private final String baseUri;

  /**
   * Creates a caller that has opened no connection yet.
   *
   * @param system the actor system
   * @param address the address of the server
   * @param idleLimit ends connections of calls that were given up; longer than the longest call
   */
  public PooledHttpClient(ActorSystem system, InetSocketAddress address, Duration idleLimit) {
    this.system = system;
    this.http = Http.get(system);
    this.pool = poolSettings(system, idleLimit);
    this.baseUri = "http://" + address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static ConnectionPoolSettings poolSettings(ActorSystem system, Duration idleLimit) {
    return ConnectionPoolSettings.create(system)
        .withTransport(new LiteralAddressTransport())
        .withMaxRetries(0)
        .withMinConnections(0)
        .withMaxConnections(16)
        .withMaxOpenRequests(64)
        // The pool's own back-off would keep requests waiting after an outage has ended.
        .withBaseConnectionBackoff(FiniteDuration.create(50, MILLISECONDS))
        .withMaxConnectionBackoff(FiniteDuration.create(200, MILLISECONDS))
        .withConnectionSettings(
            ClientConnectionSettings.create(system)
                .withConnectingTimeout(FiniteDuration.create(CONNECT_TIMEOUT_MS, MILLISECONDS))
                .withIdleTimeout(FiniteDuration.create(idleLimit.toMillis(), MILLISECONDS)));
  }

  /**
   * Returns the URI of a path on the server.
   *
   * @param path the path with its query
   * @return the absolute URI
   */
  public String uri(String path) {
    return baseUri + path;
  }

  /**
   * Sends a call.
   *
   * @param request the request, with a URI from {@link #uri}
   * @param limit the longest time until the whole answer is there
   * @return the answer, or a failure that {@link #describeFailure} explains
   */
  public CompletableFuture<Response> send(HttpRequest request, Duration limit) {
    return http.singleRequest(request, http.defaultClientHttpsContext(), pool, system.log())
        .thenCompose(r -> readFully(r, limit))
        .toCompletableFuture()
        .orTimeout(limit.toMillis(), MILLISECONDS);
  }

  private CompletionStage<Response> readFully(HttpResponse response, Duration limit) {
    return response
        .entity()
        .toStrict(limit.toMillis(), system)
        .thenApply(entity -> new Response(response.status().intValue(), entity.getData()));
  }

  /**
   * Unwraps the failure of a call.
   *
   * @param failure what the stage was completed with
   * @return the cause
   */
  public static Throwable unwrapFailure(Throwable failure) {
    return failure instanceof CompletionException && failure.getCause() != null
        ? failure.getCause()
        : failure;
  }

  /**
   * Describes the failure of a call for a log line.
   *
   * @param failure what the stage was completed with
   * @return the reason
   */
  public static String describeFailure(Throwable failure) {
    Throwable cause = unwrapFailure(failure);
    return cause instanceof TimeoutException ? "no answer in time" : String.valueOf(cause);
  }
}
