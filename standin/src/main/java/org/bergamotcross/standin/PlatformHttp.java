package org.bergamotcross.standin;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.util.ByteString;

/** Translates between HTTP and the messages of the platform duty. */
final class PlatformHttp implements HttpListener.Handler {
  private static final Pattern RECORDS_PATH = Pattern.compile("/streams/([A-Za-z0-9._-]+)/records");
  private static final int MAX_RECORDS_PER_READ = 1000;

  private final StandinRuntime runtime;
  private final Predicate<PlatformInput> offer;

  /**
   * Creates the translator.
   *
   * @param ring offers a message to the duty and tells whether it was taken
   */
  PlatformHttp(StandinRuntime runtime, Predicate<PlatformInput> ring) {
    this.runtime = runtime;
    this.offer = ring;
  }

  @Override
  public CompletionStage<Optional<HttpResponse>> handle(long connection, HttpRequest request) {
    return RequestBodies.readAll(request, runtime).thenCompose(body -> route(request, body));
  }

  @Override
  public void onConnectionClosed(long connection) {
    // A read that waits for a closed connection ends with its longest wait.
  }

  private CompletionStage<Optional<HttpResponse>> route(HttpRequest request, ByteString body) {
    String path = request.getUri().path();
    Matcher records = RECORDS_PATH.matcher(path);
    Optional<String> client = JsonResponses.header(request, "X-Instance");
    return switch (request.method().name() + " " + (records.matches() ? "records" : path)) {
      case "POST records" -> append(records.group(1), body, client);
      case "GET records" -> read(records.group(1), request, client);
      case "GET /instances" -> query(answer -> new PlatformInput.ListInstances(client, answer));
      case "POST /control" -> control(Parameters.of(request, body.utf8String()));
      default -> respond(JsonResponses.problems(404, List.of("no such resource: " + path)));
    };
  }

  private CompletionStage<Optional<HttpResponse>> append(
      String stream, ByteString body, Optional<String> client) {
    return query(answer -> new PlatformInput.Append(stream, body.toArray(), client, answer));
  }

  private CompletionStage<Optional<HttpResponse>> read(
      String stream, HttpRequest request, Optional<String> client) {
    Parameters parameters = Parameters.of(request.getUri());
    long from = parameters.number("from").orElse(0L);
    int max =
        (int)
            Math.min(
                parameters.number("max").orElse((long) MAX_RECORDS_PER_READ), MAX_RECORDS_PER_READ);
    Duration wait = parameters.millis("waitMs").orElse(Duration.ZERO);
    List<String> problems = parameters.problems();
    if (!problems.isEmpty()) {
      return respond(JsonResponses.problems(400, problems));
    }
    return query(answer -> new PlatformInput.Read(stream, from, max, wait, client, answer));
  }

  private CompletionStage<Optional<HttpResponse>> control(Parameters parameters) {
    return switch (PlatformControl.parse(parameters)) {
      case ControlResult.Rejected<PlatformChange> rejected ->
          respond(JsonResponses.problems(400, rejected.problems()));
      case ControlResult.Accepted<PlatformChange> accepted -> apply(accepted.changes());
    };
  }

  private CompletionStage<Optional<HttpResponse>> apply(List<PlatformChange> changes) {
    CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
    for (PlatformChange change : changes) {
      CompletableFuture<Void> applied = new CompletableFuture<>();
      if (!offer.test(new PlatformInput.Change(change, applied))) {
        return respond(unavailable());
      }
      all = all.thenCombine(applied, (a, b) -> null);
    }
    return all.thenApply(done -> Optional.of(JsonResponses.ok()));
  }

  private interface MessageFactory {
    PlatformInput create(CompletableFuture<PlatformResponse> answer);
  }

  private CompletionStage<Optional<HttpResponse>> query(MessageFactory message) {
    CompletableFuture<PlatformResponse> answer = new CompletableFuture<>();
    return offer.test(message.create(answer))
        ? answer.thenApply(PlatformHttp::encode)
        : respond(unavailable());
  }

  private static CompletionStage<Optional<HttpResponse>> respond(HttpResponse response) {
    return CompletableFuture.completedFuture(Optional.of(response));
  }

  private static HttpResponse unavailable() {
    return JsonResponses.problems(503, List.of("the platform is not available"));
  }

  private static Optional<HttpResponse> encode(PlatformResponse answer) {
    var body = JsonResponses.JSON.createObjectNode();
    return switch (answer) {
      case PlatformResponse.Appended appended ->
          Optional.of(JsonResponses.json(200, body.put("offset", appended.offset())));
      case PlatformResponse.Page page -> {
        body.put("earliest", page.earliest()).put("next", page.next());
        var records = body.putArray("records");
        page.records()
            .forEach(r -> records.addObject().put("offset", r.offset()).put("data", r.data()));
        yield Optional.of(JsonResponses.json(200, body));
      }
      case PlatformResponse.Trimmed gone ->
          Optional.of(JsonResponses.json(410, body.put("earliest", gone.earliest())));
      case PlatformResponse.Instances instances -> {
        var list = body.putArray("instances");
        instances.entries().forEach(list::addPOJO);
        yield Optional.of(JsonResponses.json(200, body));
      }
      case PlatformResponse.Unavailable ignored -> Optional.of(unavailable());
      case PlatformResponse.CloseConnection ignored -> Optional.empty();
    };
  }
}
