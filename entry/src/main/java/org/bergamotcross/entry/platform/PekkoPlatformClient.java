package org.bergamotcross.entry.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.StreamTcpException;
import org.apache.pekko.util.ByteString;
import org.bergamotcross.entry.platform.PooledHttpClient.Response;

/**
 * Accesses the platform over HTTP and JSON with Pekko HTTP.
 *
 * <p>The client never retries: a repeated append would add a second record, and only the code that
 * uses the client knows whether a retry is safe. Each request has a time-out.
 */
public final class PekkoPlatformClient implements PlatformClient {
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);
  // Closes connections of abandoned requests; longer than the longest read.
  private static final Duration CONNECTION_IDLE_TIMEOUT = Duration.ofSeconds(6);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final PooledHttpClient http;
  private final RawHeader instanceHeader;
  private final Runnable onClose;

  private PekkoPlatformClient(
      ActorSystem system, InetSocketAddress address, String instanceId, Runnable onClose) {
    this.onClose = onClose;
    this.http = new PooledHttpClient(system, address, CONNECTION_IDLE_TIMEOUT);
    this.instanceHeader = RawHeader.create("X-Instance", instanceId);
  }

  /**
   * Creates a client on an existing actor system; connections are opened when they are needed.
   *
   * @param system the actor system, which must outlive the client
   * @param address the address of the platform
   * @param instanceId the name sent with each request
   * @return the client; closing it leaves the actor system running
   */
  public static PlatformClient onActorSystem(
      ActorSystem system, InetSocketAddress address, String instanceId) {
    return new PekkoPlatformClient(system, address, instanceId, () -> {});
  }

  /**
   * Creates a client with its own actor system, for programs that have none.
   *
   * @param address the address of the platform
   * @param instanceId the name sent with each request, for example the user's name
   * @return the client; closing it terminates its actor system
   */
  public static PlatformClient withOwnActorSystem(InetSocketAddress address, String instanceId) {
    Config quiet =
        ConfigFactory.parseMap(
            Map.of(
                "pekko.daemonic", "on",
                "pekko.loglevel", "OFF",
                "pekko.stdout-loglevel", "OFF",
                "pekko.coordinated-shutdown.run-by-jvm-shutdown-hook", "off"));
    ActorSystem system =
        ActorSystem.create("platform-client", quiet.withFallback(ConfigFactory.load()));
    return new PekkoPlatformClient(system, address, instanceId, system::terminate);
  }

  @Override
  public CompletionStage<AppendResult> append(String stream, byte[] data) {
    HttpRequest request =
        HttpRequest.POST(http.uri("/streams/" + stream + "/records"))
            .withEntity(ContentTypes.APPLICATION_OCTET_STREAM, data);
    return send(request, RESPONSE_TIMEOUT)
        .thenApply(PekkoPlatformClient::appendResult)
        .exceptionally(PekkoPlatformClient::appendFailure);
  }

  @Override
  public CompletionStage<ReadResult> read(String stream, long from, int max, Duration wait) {
    String query = "?from=" + from + "&max=" + max + "&waitMs=" + wait.toMillis();
    HttpRequest request = HttpRequest.GET(http.uri("/streams/" + stream + "/records" + query));
    return send(request, RESPONSE_TIMEOUT.plus(wait))
        .thenApply(PekkoPlatformClient::readResult)
        .exceptionally(
            failure -> new ReadResult.Unavailable(PooledHttpClient.describeFailure(failure)));
  }

  @Override
  public CompletionStage<ListResult> listInstances() {
    return send(HttpRequest.GET(http.uri("/instances")), RESPONSE_TIMEOUT)
        .thenApply(PekkoPlatformClient::listResult)
        .exceptionally(
            failure -> new ListResult.Unavailable(PooledHttpClient.describeFailure(failure)));
  }

  private CompletableFuture<Response> send(HttpRequest request, Duration timeout) {
    return http.send(request.addHeader(instanceHeader), timeout);
  }

  private static AppendResult appendResult(Response response) {
    int status = response.status();
    if (status >= 200 && status < 300) {
      return integer(json(response.body()), "offset")
          .<AppendResult>map(AppendResult.Appended::new)
          .orElseGet(() -> new AppendResult.OutcomeUnknown("the response has no offset"));
    }
    if (status >= 400 && status < 500) {
      return new AppendResult.Refused(status, "HTTP status " + status);
    }
    // With 503 the log itself says that it takes no appends; after any other failure the record
    // may have been appended.
    return status == 503
        ? new AppendResult.Unavailable("HTTP status 503")
        : new AppendResult.OutcomeUnknown("HTTP status " + status);
  }

  private static AppendResult appendFailure(Throwable failure) {
    Throwable cause = PooledHttpClient.unwrapFailure(failure);
    // If the connection was never established, no byte of the record was sent.
    boolean unsent =
        cause instanceof StreamTcpException
            && String.valueOf(cause.getMessage()).contains("Connect(");
    return unsent
        ? new AppendResult.Unavailable(PooledHttpClient.describeFailure(failure))
        : new AppendResult.OutcomeUnknown(PooledHttpClient.describeFailure(failure));
  }

  private static ReadResult readResult(Response response) {
    JsonNode body = json(response.body());
    Optional<Long> earliest = integer(body, "earliest");
    if (response.status() == 410 && earliest.isPresent()) {
      return new ReadResult.NotRetained(earliest.get());
    }
    Optional<Long> next = integer(body, "next");
    if (response.status() != 200 || earliest.isEmpty() || next.isEmpty()) {
      return new ReadResult.Unavailable(describeUnexpected(response));
    }
    return records(body.path("records"))
        .<ReadResult>map(records -> new ReadResult.Page(earliest.get(), next.get(), records))
        .orElseGet(() -> new ReadResult.Unavailable(describeUnexpected(response)));
  }

  // One invalid entry invalidates the page, because a reader must not skip a record it never saw.
  private static Optional<List<LogRecord>> records(JsonNode array) {
    if (!array.isArray()) {
      return Optional.empty();
    }
    List<LogRecord> records = new ArrayList<>(array.size());
    for (JsonNode entry : array) {
      Optional<Long> offset = integer(entry, "offset");
      try {
        byte[] data = entry.path("data").binaryValue();
        if (offset.isEmpty() || data == null) {
          return Optional.empty();
        }
        records.add(new LogRecord(offset.get(), data));
      } catch (IOException e) {
        return Optional.empty();
      }
    }
    return Optional.of(records);
  }

  private static ListResult listResult(Response response) {
    JsonNode array = json(response.body()).path("instances");
    if (response.status() != 200 || !array.isArray()) {
      return new ListResult.Unavailable(describeUnexpected(response));
    }
    List<PlatformInstance> instances = new ArrayList<>(array.size());
    // Entries of an unknown kind or state are ignored; the rest of the list stays valid.
    array.forEach(entry -> platformInstance(entry).ifPresent(instances::add));
    return new ListResult.Listed(instances);
  }

  private static Optional<PlatformInstance> platformInstance(JsonNode entry) {
    Optional<PlatformInstance.Kind> kind =
        switch (entry.path("kind").asText()) {
          case "entry" -> Optional.of(PlatformInstance.Kind.ENTRY);
          case "target" -> Optional.of(PlatformInstance.Kind.TARGET);
          default -> Optional.empty();
        };
    Optional<PlatformInstance.State> state =
        switch (entry.path("state").asText()) {
          case "live" -> Optional.of(PlatformInstance.State.LIVE);
          case "leaving" -> Optional.of(PlatformInstance.State.LEAVING);
          default -> Optional.empty();
        };
    return kind.flatMap(
        k ->
            state.map(
                s ->
                    new PlatformInstance(
                        entry.path("id").asText(),
                        k,
                        s,
                        entry.path("address").asText(),
                        entry.path("failureDomain").asText())));
  }

  private static JsonNode json(ByteString body) {
    try {
      return MAPPER.readTree(body.toArrayUnsafe());
    } catch (IOException e) {
      return MissingNode.getInstance();
    }
  }

  private static Optional<Long> integer(JsonNode node, String field) {
    JsonNode value = node.path(field);
    return value.isIntegralNumber() ? Optional.of(value.longValue()) : Optional.empty();
  }

  private static String describeUnexpected(Response response) {
    return response.status() == 200
        ? "the response is not in the published format"
        : "HTTP status " + response.status();
  }

  @Override
  public void close() {
    onClose.run();
  }
}
