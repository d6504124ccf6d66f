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

/** Translates between HTTP and the messages of the {@link PlatformDuty}. */
final class PlatformHttp implements HttpListener.Handler {
  private static final Pattern RECORDS_PATH = Pattern.compile("/streams/([A-Za-z0-9._-]+)/records");
  private static final int MAX_RECORDS_PER_READ = 1000;

  private final StandinRuntime runtime;
  private final Predicate<PlatformInput> offer;

  /**
   * Creates the HTTP handler.
   *
   * @param offer offers a message to the duty's ring and returns whether it was accepted
   */
  PlatformHttp(StandinRuntime runtime, Predicate<PlatformInput> offer) {
    this.runtime = runtime;
    this.offer = offer;
  }

  @Override
  public CompletionStage<Optional<HttpResponse>> handle(long connection, HttpRequest request) {
    return RequestBodies.readAll(request, runtime).thenCompose(body -> route(request, body));
  }

  @Override
  public void onConnectionClosed(long connection) {
    // The long poll of a closed connection stays pending until its maximum wait has elapsed.
  }

  private CompletionStage<Optional<HttpResponse>> route(HttpRequest request, ByteString body) {
    String path = request.getUri().path();
    Matcher records = RECORDS_PATH.matcher(path);
    Optional<String> client = JsonResponses.header(request, "X-Instance");
    return switch (request.method().name() + " " + (records.matches() ? "records" : path)) {
      case "POST records" -> append(records.group(1), body, client);
      case "GET records" -> read(records.group(1), request, client);
      case "GET /instances" -> query(result -> new PlatformInput.ListInstances(client, result));
      case "POST /control" -> control(Parameters.of(request, body.utf8String()));
      default -> respond(JsonResponses.problems(404, List.of("no such resource: " + path)));
    };
  }

  private CompletionStage<Optional<HttpResponse>> append(
      String stream, ByteString body, Optional<String> client) {
    return query(result -> new PlatformInput.Append(stream, body.toArray(), client, result));
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
    return query(result -> new PlatformInput.Read(stream, from, max, wait, client, result));
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
    PlatformInput create(CompletableFuture<PlatformResponse> result);
  }

  private CompletionStage<Optional<HttpResponse>> query(MessageFactory message) {
    CompletableFuture<PlatformResponse> result = new CompletableFuture<>();
    return offer.test(message.create(result))
        ? result.thenApply(PlatformHttp::encode)
        : respond(unavailable());
  }

  private static CompletionStage<Optional<HttpResponse>> respond(HttpResponse response) {
    return CompletableFuture.completedFuture(Optional.of(response));
  }

  private static HttpResponse unavailable() {
    return JsonResponses.problems(503, List.of("the platform is unavailable"));
  }

  private static Optional<HttpResponse> encode(PlatformResponse result) {
    var body = JsonResponses.JSON.createObjectNode();
    return switch (result) {
      case PlatformResponse.Appended appended ->
          Optional.of(JsonResponses.json(200, body.put("offset", appended.offset())));
      case PlatformResponse.Page page -> {
        body.put("earliest", page.earliest()).put("next", page.next());
        var records = body.putArray("records");
        page.records()
            .forEach(r -> records.addObject().put("offset", r.offset()).put("data", r.data()));
        yield Optional.of(JsonResponses.json(200, body));
      }
      case PlatformResponse.Trimmed trimmed ->
          Optional.of(JsonResponses.json(410, body.put("earliest", trimmed.earliest())));
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
