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
import org.bergamotcross.kernel.OfferResult;

/** Translates between HTTP and the messages of a target duty. */
final class TargetHttp implements HttpListener.Handler {
  private static final int BLOCK_BYTES = 16 * 1024;
  private static final int MISDIRECTED = 421;

  /** Where messages go. */
  interface Sender {
    OfferResult offer(TargetInput message);

    OfferResult offerReserved(TargetInput message);
  }

  private final StandinRuntime runtime;
  private final String name;
  private final Executions executions;
  private final Sender sender;
  private final TargetDialect dialect;
  private final AtomicLong ids = new AtomicLong();

  TargetHttp(
      StandinRuntime runtime,
      String name,
      Executions executions,
      Sender sender,
      TargetDialect dialect) {
    this.runtime = runtime;
    this.name = name;
    this.executions = executions;
    this.sender = sender;
    this.dialect = dialect;
  }

  @Override
  public CompletionStage<Optional<HttpResponse>> handle(long connection, HttpRequest request) {
    return switch (request.method().name() + " " + request.getUri().path()) {
      case "GET /health" -> ask(TargetInput.AskHealth::new, this::encodeProbe);
      case "GET /load" -> ask(TargetInput.AskLoad::new, this::encodeProbe);
      case "GET /executions" -> respond(executionsJson());
      case "POST /control" ->
          Bodies.whole(request, runtime)
              .thenCompose(body -> control(Parameters.of(request, body.utf8String())));
      default ->
          Bodies.count(request, runtime).thenCompose(bytes -> work(connection, request, bytes));
    };
  }

  @Override
  public void closed(long connection) {
    sender.offerReserved(new TargetInput.ConnectionClosed(connection));
  }

  private CompletionStage<Optional<HttpResponse>> work(
      long connection, HttpRequest request, long bodyBytes) {
    Map<String, List<String>> headers = headers(request);
    if (!dialect.isMeantForThis(headers)) {
      return respond(HttpAnswers.problem(MISDIRECTED, List.of("another target is expected")));
    }
    Execution facts = facts(request, headers, bodyBytes);
    Optional<Long> deadline = dialect.deadlineMillis(headers, System.currentTimeMillis());
    Optional<Long> bytes = Parameters.of(request.getUri()).number("bytes");
    long id = ids.incrementAndGet();
    return ask(
        answer -> new TargetInput.Work(id, connection, facts, deadline, answer),
        answer -> encode(answer, facts, bytes));
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

  private Execution facts(HttpRequest request, Map<String, List<String>> headers, long bodyBytes) {
    return new Execution(
        HttpAnswers.header(request, dialect.requestId()).orElse(""),
        HttpAnswers.header(request, "Idempotency-Key"),
        HttpAnswers.header(request, dialect.organisation()).orElse(""),
        HttpAnswers.header(request, "X-Attempt").orElse(""),
        request.method().name(),
        request.getUri().path(),
        headers,
        bodyBytes,
        0,
        Execution.State.RUNNING);
  }

  private interface Message {
    TargetInput with(CompletableFuture<TargetAnswer> answer);
  }

  private interface Encoder {
    HttpResponse encode(TargetAnswer answer);
  }

  private CompletionStage<Optional<HttpResponse>> ask(Message message, Encoder encoder) {
    CompletableFuture<TargetAnswer> answer = new CompletableFuture<>();
    if (!sender.offer(message.with(answer)).isAccepted()) {
      answer.complete(new TargetAnswer.NotRun("ring full", Optional.empty(), false));
      return answer.thenApply(a -> Optional.of(encode(a, "", Optional.empty())));
    }
    return answer.thenApply(a -> Optional.of(encoder.encode(a)));
  }

  private static CompletionStage<Optional<HttpResponse>> respond(HttpResponse response) {
    return CompletableFuture.completedFuture(Optional.of(response));
  }

  private CompletionStage<Optional<HttpResponse>> control(Parameters parameters) {
    return switch (TargetControl.read(parameters)) {
      case ControlResult.Rejected<TargetChange> rejected ->
          respond(HttpAnswers.problem(400, rejected.problems()));
      case ControlResult.Accepted<TargetChange> accepted -> {
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        for (TargetChange change : accepted.changes()) {
          CompletableFuture<Void> applied = new CompletableFuture<>();
          sender.offerReserved(new TargetInput.Change(change, applied));
          all = all.thenCombine(applied, (a, b) -> null);
        }
        yield all.thenApply(done -> Optional.of(HttpAnswers.ok()));
      }
    };
  }

  private HttpResponse executionsJson() {
    var body = HttpAnswers.JSON.createObjectNode().put("total", executions.total());
    var list = body.putArray("executions");
    for (Execution execution : executions.all()) {
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
      // Only the names: a value could be a secret that should not have come here.
      execution.headers().keySet().stream().sorted().forEach(entry.putArray("headers")::add);
    }
    return HttpAnswers.json(200, body);
  }

  private HttpResponse encode(TargetAnswer answer, Execution facts, Optional<Long> bytes) {
    HttpResponse response = encode(answer, body(facts), bytes);
    boolean hasRun = !(answer instanceof TargetAnswer.NotRun);
    return hasRun ? with(response, dialect.ofAnswer(facts.requestId())) : response;
  }

  private String body(Execution facts) {
    return HttpAnswers.JSON
        .createObjectNode()
        .put("request", facts.requestId())
        .put("organisation", facts.organisation())
        .put("target", name)
        .put("attempt", facts.attempt())
        .put("bodyBytes", facts.bodyBytes())
        .toString();
  }

  private HttpResponse encode(TargetAnswer answer, String body, Optional<Long> bytes) {
    HttpResponse response =
        switch (answer) {
          case TargetAnswer.Done ignored ->
              bytes.map(n -> large(body, n)).orElseGet(() -> text(body));
          case TargetAnswer.Cut ignored -> cut(body, bytes);
          case TargetAnswer.Failed ignored -> HttpAnswers.problem(500, List.of("the work failed"));
          case TargetAnswer.NotRun notRun -> notRun(notRun);
          case TargetAnswer.Health ignored -> encodeProbe(answer);
          case TargetAnswer.Load ignored -> encodeProbe(answer);
        };
    return marked(response, answer.draining());
  }

  private HttpResponse encodeProbe(TargetAnswer answer) {
    var body = HttpAnswers.JSON.createObjectNode();
    HttpResponse response =
        switch (answer) {
          case TargetAnswer.Health health ->
              HttpAnswers.json(
                  health.passes() ? 200 : 503,
                  body.put("status", health.passes() ? "pass" : "fail"));
          case TargetAnswer.Load load ->
              HttpAnswers.json(200, body.put("slots", load.slots()).put("running", load.running()));
          case TargetAnswer.NotRun notRun -> notRun(notRun);
          case TargetAnswer.Done ignored -> HttpAnswers.ok();
          case TargetAnswer.Cut ignored -> HttpAnswers.ok();
          case TargetAnswer.Failed ignored -> HttpAnswers.ok();
        };
    return marked(response, answer.draining());
  }

  private static HttpResponse with(HttpResponse response, Map<String, String> headers) {
    List<HttpHeader> added = new ArrayList<>();
    headers.forEach((header, value) -> added.add(RawHeader.create(header, value)));
    return response.addHeaders(added);
  }

  private HttpResponse marked(HttpResponse response, boolean draining) {
    return draining ? with(response, dialect.ofDraining()) : response;
  }

  private HttpResponse notRun(TargetAnswer.NotRun notRun) {
    HttpResponse response =
        with(HttpAnswers.problem(503, List.of("not run: " + notRun.reason())), dialect.ofNotRun());
    return notRun
        .retryAfter()
        .map(t -> response.addHeader(RawHeader.create("Retry-After", "" + t.toSeconds())))
        .orElse(response);
  }

  private static HttpResponse text(String body) {
    return HttpResponse.create().withEntity(ContentTypes.APPLICATION_JSON, body);
  }

  private static HttpResponse large(String body, long bytes) {
    return sized(bytes, blocks(body, bytes));
  }

  /** Announces the whole body and breaks the connection after the first half. */
  private static HttpResponse cut(String body, Optional<Long> bytes) {
    long announced = bytes.orElse((long) body.length());
    return sized(
        announced,
        blocks(body, announced / 2)
            .concat(Source.failed(new IllegalStateException("cut by the fault switch"))));
  }

  private static HttpResponse sized(long bytes, Source<ByteString, ?> source) {
    return HttpResponse.create()
        .withEntity(
            bytes == 0
                ? HttpEntities.EMPTY
                : HttpEntities.create(ContentTypes.APPLICATION_OCTET_STREAM, bytes, source));
  }

  /** Repeats a text up to a length, in blocks, so that no large body is held whole. */
  private static Source<ByteString, ?> blocks(String text, long bytes) {
    byte[] unit = (text + "\n").getBytes(StandardCharsets.UTF_8);
    int repeats = Math.max(1, BLOCK_BYTES / unit.length);
    ByteString block = ByteString.fromString((text + "\n").repeat(repeats));
    long whole = bytes / block.size();
    int rest = (int) (bytes % block.size());
    return Source.range(0, (int) Math.min(whole, Integer.MAX_VALUE - 1))
        .map(i -> i < whole ? block : block.take(rest))
        .filter(part -> !part.isEmpty());
  }
}
