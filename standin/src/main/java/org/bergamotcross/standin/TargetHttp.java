package org.bergamotcross.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.bergamotcross.kernel.RingOfferResult;

/** Translates between HTTP and the messages of a {@link TargetDuty}. */
final class TargetHttp implements HttpListener.Handler {
  private static final int BLOCK_BYTES = 16 * 1024;
  private static final int MISDIRECTED_REQUEST = 421;

  /** Sends messages to the duty. */
  interface MessageSender {
    RingOfferResult offer(TargetInput message);

    RingOfferResult offerReserved(TargetInput message);
  }

  private final StandinRuntime runtime;
  private final String name;
  private final Executions executions;
  private final MessageSender sender;
  private final TargetProtocol protocol;
  private final AtomicLong lastWorkId = new AtomicLong();

  TargetHttp(
      StandinRuntime runtime,
      String name,
      Executions executions,
      MessageSender sender,
      TargetProtocol protocol) {
    this.runtime = runtime;
    this.name = name;
    this.executions = executions;
    this.sender = sender;
    this.protocol = protocol;
  }

  @Override
  public CompletionStage<Optional<HttpResponse>> handle(long connection, HttpRequest request) {
    return switch (request.method().name() + " " + request.getUri().path()) {
      case "GET /health" -> query(TargetInput.QueryHealth::new, this::encodeProbe);
      case "GET /load" -> query(TargetInput.QueryLoad::new, this::encodeProbe);
      case "GET /executions" -> respond(executionsJson());
      case "POST /control" ->
          RequestBodies.readAll(request, runtime)
              .thenCompose(body -> control(Parameters.of(request, body.utf8String())));
      default ->
          RequestBodies.countBytes(request, runtime)
              .thenCompose(bytes -> handleWork(connection, request, bytes));
    };
  }

  @Override
  public void onConnectionClosed(long connection) {
    sender.offerReserved(new TargetInput.ConnectionClosed(connection));
  }

  private CompletionStage<Optional<HttpResponse>> handleWork(
      long connection, HttpRequest request, long bodyBytes) {
    Map<String, List<String>> headers = headers(request);
    if (!protocol.isAddressedToThisTarget(headers)) {
      return respond(
          JsonResponses.problems(
              MISDIRECTED_REQUEST, List.of("the request is addressed to another target")));
    }
    Execution execution = describeExecution(request, headers, bodyBytes);
    Optional<Long> deadline = protocol.parseDeadlineMillis(headers, System.currentTimeMillis());
    Optional<Long> bytes = Parameters.of(request.getUri()).number("bytes");
    long id = lastWorkId.incrementAndGet();
    return query(
        result -> new TargetInput.WorkRequest(id, connection, execution, deadline, result),
        result -> encode(result, execution, bytes));
  }

  private static Map<String, List<String>> headers(HttpRequest request) {
    Map<String, List<String>> headers = new HashMap<>();
    request
        .getHeaders()
        .forEach(
            h -> headers.computeIfAbsent(h.lowercaseName(), n -> new ArrayList<>()).add(h.value()));
    headers.put("content-type", List.of(request.entity().getContentType().toString()));
    return headers;
  }

  private Execution describeExecution(
      HttpRequest request, Map<String, List<String>> headers, long bodyBytes) {
    return new Execution(
        JsonResponses.header(request, protocol.requestIdHeader()).orElse(""),
        JsonResponses.header(request, "Idempotency-Key"),
        JsonResponses.header(request, protocol.organisationHeader()).orElse(""),
        JsonResponses.header(request, "X-Attempt").orElse(""),
        request.method().name(),
        request.getUri().path(),
        headers,
        bodyBytes,
        0,
        Execution.State.RUNNING);
  }

  private interface MessageFactory {
    TargetInput create(CompletableFuture<TargetResponse> result);
  }

  private interface Encoder {
    HttpResponse encode(TargetResponse result);
  }

  private CompletionStage<Optional<HttpResponse>> query(MessageFactory message, Encoder encoder) {
    CompletableFuture<TargetResponse> result = new CompletableFuture<>();
    if (!sender.offer(message.create(result)).isAccepted()) {
      result.complete(new TargetResponse.NotRun("ring full", Optional.empty(), false));
      return result.thenApply(a -> Optional.of(encode(a, "", Optional.empty())));
    }
    return result.thenApply(a -> Optional.of(encoder.encode(a)));
  }

  private static CompletionStage<Optional<HttpResponse>> respond(HttpResponse response) {
    return CompletableFuture.completedFuture(Optional.of(response));
  }

  private CompletionStage<Optional<HttpResponse>> control(Parameters parameters) {
    return switch (TargetControl.parse(parameters)) {
      case ControlResult.Rejected<TargetChange> rejected ->
          respond(JsonResponses.problems(400, rejected.problems()));
      case ControlResult.Accepted<TargetChange> accepted -> {
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        for (TargetChange change : accepted.changes()) {
          CompletableFuture<Void> applied = new CompletableFuture<>();
          sender.offerReserved(new TargetInput.Change(change, applied));
          all = all.thenCombine(applied, (a, b) -> null);
        }
        yield all.thenApply(done -> Optional.of(JsonResponses.ok()));
      }
    };
  }

  private HttpResponse executionsJson() {
    var body = JsonResponses.JSON.createObjectNode().put("total", executions.totalStarted());
    var list = body.putArray("executions");
    for (Execution execution : executions.retained()) {
      var entry =
          list.addObject()
              .put("request", execution.requestId())
              .put("organisation", execution.organisation())
              .put("attempt", execution.attempt())
              .put("method", execution.method())
              .put("path", execution.path())
              .put("bodyBytes", execution.bodyBytes())
              .put("startedAt", execution.startedAtMillis())
              .put("state", execution.state().name().toLowerCase(Locale.ROOT));
      execution.idempotencyKey().ifPresent(key -> entry.put("idempotencyKey", key));
      // Only names are listed, since a header value may be a secret that was forwarded by mistake.
      execution.headers().keySet().stream().sorted().forEach(entry.putArray("headers")::add);
    }
    return JsonResponses.json(200, body);
  }

  private HttpResponse encode(TargetResponse result, Execution execution, Optional<Long> bytes) {
    HttpResponse response = encode(result, resultJson(execution), bytes);
    boolean hasRun = !(result instanceof TargetResponse.NotRun);
    return hasRun
        ? addHeaders(response, protocol.responseHeaders(execution.requestId()))
        : response;
  }

  private String resultJson(Execution execution) {
    return JsonResponses.JSON
        .createObjectNode()
        .put("request", execution.requestId())
        .put("organisation", execution.organisation())
        .put("target", name)
        .put("attempt", execution.attempt())
        .put("bodyBytes", execution.bodyBytes())
        .toString();
  }

  private HttpResponse encode(TargetResponse result, String body, Optional<Long> bytes) {
    HttpResponse response =
        switch (result) {
          case TargetResponse.Completed ignored ->
              bytes.map(n -> largeResponse(body, n)).orElseGet(() -> textResponse(body));
          case TargetResponse.Truncated ignored -> truncatedResponse(body, bytes);
          case TargetResponse.Failed ignored ->
              JsonResponses.problems(500, List.of("the work failed"));
          case TargetResponse.NotRun notRun -> notRunResponse(notRun);
          case TargetResponse.Health ignored -> encodeProbe(result);
          case TargetResponse.Load ignored -> encodeProbe(result);
        };
    return markDraining(response, result.draining());
  }

  private HttpResponse encodeProbe(TargetResponse result) {
    var body = JsonResponses.JSON.createObjectNode();
    HttpResponse response =
        switch (result) {
          case TargetResponse.Health health ->
              JsonResponses.json(
                  health.passes() ? 200 : 503,
                  body.put("status", health.passes() ? "pass" : "fail"));
          case TargetResponse.Load load ->
              JsonResponses.json(
                  200, body.put("slots", load.slots()).put("running", load.running()));
          case TargetResponse.NotRun notRun -> notRunResponse(notRun);
          case TargetResponse.Completed ignored -> JsonResponses.ok();
          case TargetResponse.Truncated ignored -> JsonResponses.ok();
          case TargetResponse.Failed ignored -> JsonResponses.ok();
        };
    return markDraining(response, result.draining());
  }

  private static HttpResponse addHeaders(HttpResponse response, Map<String, String> headers) {
    List<HttpHeader> added = new ArrayList<>();
    headers.forEach((header, value) -> added.add(RawHeader.create(header, value)));
    return response.addHeaders(added);
  }

  private HttpResponse markDraining(HttpResponse response, boolean draining) {
    return draining ? addHeaders(response, protocol.drainingHeaders()) : response;
  }

  private HttpResponse notRunResponse(TargetResponse.NotRun notRun) {
    HttpResponse response =
        addHeaders(
            JsonResponses.problems(503, List.of("not run: " + notRun.reason())),
            protocol.notRunHeaders());
    return notRun
        .retryAfter()
        .map(t -> response.addHeader(RawHeader.create("Retry-After", "" + t.toSeconds())))
        .orElse(response);
  }

  private static HttpResponse textResponse(String body) {
    return HttpResponse.create().withEntity(ContentTypes.APPLICATION_JSON, body);
  }

  private static HttpResponse largeResponse(String body, long bytes) {
    return responseOfLength(bytes, repeatToLength(body, bytes));
  }

  /** Announces the full content length and breaks the connection after half of the body. */
  private static HttpResponse truncatedResponse(String body, Optional<Long> bytes) {
    long announced = bytes.orElse((long) body.length());
    return responseOfLength(
        announced,
        repeatToLength(body, announced / 2)
            .concat(Source.failed(new IllegalStateException("body truncated by fault injection"))));
  }

  private static HttpResponse responseOfLength(long bytes, Source<ByteString, ?> source) {
    return HttpResponse.create()
        .withEntity(
            bytes == 0
                ? HttpEntities.EMPTY
                : HttpEntities.create(ContentTypes.APPLICATION_OCTET_STREAM, bytes, source));
  }

  /** Streams a text repeated up to a length, so that a large body is never held in memory. */
  private static Source<ByteString, ?> repeatToLength(String text, long bytes) {
    byte[] unit = (text + "\n").getBytes(StandardCharsets.UTF_8);
    int repeats = Math.max(1, BLOCK_BYTES / unit.length);
    ByteString block = ByteString.fromString((text + "\n").repeat(repeats));
    long fullBlocks = bytes / block.size();
    int lastBlockBytes = (int) (bytes % block.size());
    return Source.range(0, (int) Math.min(fullBlocks, Integer.MAX_VALUE - 1))
        .map(i -> i < fullBlocks ? block : block.take(lastBlockBytes))
        .filter(part -> !part.isEmpty());
  }
}
