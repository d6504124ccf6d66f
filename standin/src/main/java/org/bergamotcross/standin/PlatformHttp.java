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
  private static final Pattern RECORDS = Pattern.compile("/streams/([A-Za-z0-9._-]+)/records");
  private static final int DEFAULT_MAX = 1000;

  private final StandinRuntime runtime;
  private final Predicate<PlatformInput> ring;

  /**
   * Creates the translator.
   *
   * @param ring offers a message to the duty and tells whether it was taken
   */
  PlatformHttp(StandinRuntime runtime, Predicate<PlatformInput> ring) {
    this.runtime = runtime;
    this.ring = ring;
  }

  @Override
  public CompletionStage<Optional<HttpResponse>> handle(long connection, HttpRequest request) {
    return Bodies.whole(request, runtime).thenCompose(body -> route(request, body));
  }

  @Override
  public void closed(long connection) {
    // A read that waits for a closed connection ends with its longest wait.
  }

  private CompletionStage<Optional<HttpResponse>> route(HttpRequest request, ByteString body) {
    String path = request.getUri().path();
    Matcher records = RECORDS.matcher(path);
    Optional<String> client = HttpAnswers.header(request, "X-Instance");
    return switch (request.method().name() + " " + (records.matches() ? "records" : path)) {
      case "POST records" -> append(records.group(1), body, client);
      case "GET records" -> read(records.group(1), request, client);
      case "GET /instances" -> ask(answer -> new PlatformInput.ListInstances(client, answer));
      case "POST /control" -> control(Parameters.of(request, body.utf8String()));
      default -> respond(HttpAnswers.problem(404, List.of("no such resource: " + path)));
    };
  }

  private CompletionStage<Optional<HttpResponse>> append(
      String stream, ByteString body, Optional<String> client) {
    return ask(answer -> new PlatformInput.Append(stream, body.toArray(), client, answer));
  }

  private CompletionStage<Optional<HttpResponse>> read(
      String stream, HttpRequest request, Optional<String> client) {
    Parameters parameters = Parameters.of(request.getUri());
    long from = parameters.number("from").orElse(0L);
    int max = (int) Math.min(parameters.number("max").orElse((long) DEFAULT_MAX), DEFAULT_MAX);
    Duration wait = parameters.millis("waitMs").orElse(Duration.ZERO);
    List<String> problems = parameters.problems();
    if (!problems.isEmpty()) {
      return respond(HttpAnswers.problem(400, problems));
    }
    return ask(answer -> new PlatformInput.Read(stream, from, max, wait, client, answer));
  }

  private CompletionStage<Optional<HttpResponse>> control(Parameters parameters) {
    return switch (PlatformControl.read(parameters)) {
      case ControlResult.Rejected<PlatformChange> rejected ->
          respond(HttpAnswers.problem(400, rejected.problems()));
      case ControlResult.Accepted<PlatformChange> accepted -> apply(accepted.changes());
    };
  }

  private CompletionStage<Optional<HttpResponse>> apply(List<PlatformChange> changes) {
    CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
    for (PlatformChange change : changes) {
      CompletableFuture<Void> applied = new CompletableFuture<>();
      if (!ring.test(new PlatformInput.Change(change, applied))) {
        return respond(unavailable());
      }
      all = all.thenCombine(applied, (a, b) -> null);
    }
    return all.thenApply(done -> Optional.of(HttpAnswers.ok()));
  }

  private interface Message {
    PlatformInput with(CompletableFuture<PlatformAnswer> answer);
  }

  private CompletionStage<Optional<HttpResponse>> ask(Message message) {
    CompletableFuture<PlatformAnswer> answer = new CompletableFuture<>();
    return ring.test(message.with(answer))
        ? answer.thenApply(PlatformHttp::encode)
        : respond(unavailable());
  }

  private static CompletionStage<Optional<HttpResponse>> respond(HttpResponse response) {
    return CompletableFuture.completedFuture(Optional.of(response));
  }

  private static HttpResponse unavailable() {
    return HttpAnswers.problem(503, List.of("the platform is not available"));
  }

  private static Optional<HttpResponse> encode(PlatformAnswer answer) {
    var body = HttpAnswers.JSON.createObjectNode();
    return switch (answer) {
      case PlatformAnswer.Appended appended ->
          Optional.of(HttpAnswers.json(200, body.put("offset", appended.offset())));
      case PlatformAnswer.Page page -> {
        body.put("earliest", page.earliest()).put("next", page.next());
        var records = body.putArray("records");
        page.records()
            .forEach(r -> records.addObject().put("offset", r.offset()).put("data", r.data()));
        yield Optional.of(HttpAnswers.json(200, body));
      }
      case PlatformAnswer.Gone gone ->
          Optional.of(HttpAnswers.json(410, body.put("earliest", gone.earliest())));
      case PlatformAnswer.Instances instances -> {
        var list = body.putArray("instances");
        instances.list().forEach(list::addPOJO);
        yield Optional.of(HttpAnswers.json(200, body));
      }
      case PlatformAnswer.Unavailable ignored -> Optional.of(unavailable());
      case PlatformAnswer.CloseConnection ignored -> Optional.empty();
    };
  }
}
