package org.bergamotcross.entry.platform;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.apache.pekko.util.ByteString;
import scala.concurrent.duration.FiniteDuration;

/**
 * Sends requests to one server over pooled connections, each with a time-out.
 *
 * <p>Requests are never retried here; only the code that sends a request knows whether a retry is
 * safe.
 */
public final class PooledHttpClient {
  // The latency between failure domains is about 1 ms, so 1 s is ample to open a connection.
  private static final long CONNECT_TIMEOUT_MS = 1_000;

  /**
   * A response that was read in full.
   *
   * @param status the HTTP status
   * @param body the body
   * @param headers the headers
   */
  public record Response(int status, ByteString body, List<HttpHeader> headers) {

    /** Makes an unmodifiable copy of the headers. */
    public Response {
      headers = List.copyOf(headers);
    }

    /**
     * Returns the value of a header.
     *
     * @param name the name, in any case
     * @return the value of the first header of this name; empty if there is none
     */
    public Optional<String> header(String name) {
      return headers.stream()
          .filter(header -> header.is(name.toLowerCase(Locale.ROOT)))
          .map(HttpHeader::value)
          .findFirst();
    }
  }

  private final ActorSystem system;
  private final Http http;
  private final ConnectionPoolSettings pool;
  private final String baseUri;

  /**
   * Creates a client; connections are opened when they are needed.
   *
   * @param system the actor system
   * @param address the address of the server
   * @param idleTimeout closes connections whose request was abandoned; longer than the longest
   *     request
   */
  public PooledHttpClient(ActorSystem system, InetSocketAddress address, Duration idleTimeout) {
    this.system = system;
    this.http = Http.get(system);
    this.pool = poolSettings(system, idleTimeout);
    this.baseUri = "http://" + address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static ConnectionPoolSettings poolSettings(ActorSystem system, Duration idleTimeout) {
    return ConnectionPoolSettings.create(system)
        .withMaxRetries(0)
        .withMinConnections(0)
        .withMaxConnections(16)
        .withMaxOpenRequests(64)
        // The pool's default back-off would delay requests after an outage has ended.
        .withBaseConnectionBackoff(FiniteDuration.create(50, MILLISECONDS))
        .withMaxConnectionBackoff(FiniteDuration.create(200, MILLISECONDS))
        .withConnectionSettings(
            ClientConnectionSettings.create(system)
                .withTransport(new ValidatingTransport())
                .withConnectingTimeout(FiniteDuration.create(CONNECT_TIMEOUT_MS, MILLISECONDS))
                .withIdleTimeout(FiniteDuration.create(idleTimeout.toMillis(), MILLISECONDS)));
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
   * Sends a request.
   *
   * @param request the request, with a URI from {@link #uri}
   * @param timeout the time timeout for the complete response
   * @return the response, or a failure that {@link #describeFailure} explains
   */
  public CompletableFuture<Response> send(HttpRequest request, Duration timeout) {
    return http.singleRequest(request, http.defaultClientHttpsContext(), pool, system.log())
        .thenCompose(r -> readFully(r, timeout))
        .toCompletableFuture()
        .orTimeout(timeout.toMillis(), MILLISECONDS);
  }

  private CompletionStage<Response> readFully(HttpResponse response, Duration timeout) {
    return response
        .entity()
        .toStrict(timeout.toMillis(), system)
        .thenApply(
            entity ->
                new Response(response.status().intValue(), entity.getData(), headers(response)));
  }

  private static List<HttpHeader> headers(HttpResponse response) {
    List<HttpHeader> headers = new ArrayList<>();
    response.getHeaders().forEach(headers::add);
    return headers;
  }

  /**
   * Unwraps the failure of a request from its {@link CompletionException}.
   *
   * @param failure the exception that completed the stage
   * @return the cause, or the exception itself if it has no wrapper
   */
  public static Throwable unwrapFailure(Throwable failure) {
    return failure instanceof CompletionException && failure.getCause() != null
        ? failure.getCause()
        : failure;
  }

  /**
   * Describes the failure of a request for a log line.
   *
   * @param failure the exception that completed the stage
   * @return the reason
   */
  public static String describeFailure(Throwable failure) {
    Throwable cause = unwrapFailure(failure);
    return cause instanceof TimeoutException
        ? "no response within the time-out"
        : String.valueOf(cause);
  }
}
