package org.bergamotcross.entry.http;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.RequestEntity;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.bergamotcross.core.admission.StoredAnswer;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.entry.SendEvent;
import org.bergamotcross.entry.TargetSender;

/**
 * One attempt to run a request at a target: joins the caller's exchange with a connection.
 *
 * <p>The response waits until the routing duty delivers or cancels it, so that a late answer never
 * reaches a caller that was told otherwise.
 */
final class Attempt implements TargetSender.Sending, TargetConnection.User {
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
  private static final Set<String> TRUE_VALUES = Set.of("true", "1");

  private final CallerExchange caller;
  private final boolean claimed;
  private final boolean idempotent;
  private final PathOptions options;
  private final Materializer materializer;
  private final Consumer<SendEvent> events;
  private final Consumer<TargetConnection> reuse;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final AtomicReference<Optional<TargetConnection>> connection =
      new AtomicReference<>(Optional.empty());
  private final AtomicReference<Optional<HttpResponse>> waiting =
      new AtomicReference<>(Optional.empty());
  private volatile boolean requestSent;
  private volatile boolean delivered;

  /**
   * Creates an attempt that has not been sent.
   *
   * @param caller the caller's exchange
   * @param request what was decided about the request; of a claimed one, a small response is read
   *     in full before it is reported
   * @param options how responses are read
   * @param materializer runs the streams
   * @param events receives what happens
   * @param reuse takes connections that can carry another request
   */
  Attempt(
      CallerExchange caller,
      AdmittedRequest request,
      PathOptions options,
      Materializer materializer,
      Consumer<SendEvent> events,
      Consumer<TargetConnection> reuse) {
    this.caller = caller;
    this.claimed = request.claimed();
    this.idempotent = request.idempotent();
    this.options = options;
    this.materializer = materializer;
    this.events = events;
    this.reuse = reuse;
  }

  /**
   * Ties the attempt to the connection that carries it.
   *
   * @param carrier the connection
   */
  void carriedBy(TargetConnection carrier) {
    connection.set(Optional.of(carrier));
    if (ended.get()) {
      carrier.close();
    }
  }

  /**
   * Returns the body to send.
   *
   * @return the caller's body; a stream is watched, because its failure decides the outcome
   */
  RequestEntity body() {
    RequestEntity entity = caller.request().entity();
    if (entity.isStrict()) {
      requestSent = true;
      return entity;
    }
    Source<ByteString, ?> bytes = entity.getDataBytes().via(new EndWatch(new RequestWatch()));
    return entity.getContentLengthOption().isPresent()
        ? HttpEntities.create(
            entity.getContentType(), entity.getContentLengthOption().getAsLong(), bytes)
        : HttpEntities.createChunked(entity.getContentType(), bytes);
  }

  @Override
  public void connectFailed() {
    end(new SendEvent.ConnectFailed());
  }

  @Override
  public void lost() {
    end(new SendEvent.Broken());
  }

  @Override
  public void responded(HttpResponse response) {
    TargetHead head = TargetHead.read(response, options.names());
    if (isOfAnotherRequest(response, head)) {
      breakOff();
    } else if (head.notRun()) {
      if (end(new SendEvent.Shed(head.draining(), head.retryAfter()))) {
        discard(response);
      }
    } else if (response.entity().isCloseDelimited() && !options.unframedAccepted()) {
      // Its end is the same whether the target finished or broke.
      breakOff();
    } else if (isRefusalWithoutPromise(head)) {
      breakOff();
    } else if (!isComplete(response) && readLimit(response) > 0) {
      readStart(response, head, readLimit(response));
    } else if (claimed && response.entity() instanceof HttpEntity.Strict strict) {
      reportSmall(response, head, strict.getData());
    } else {
      report(response, head, Optional.empty());
    }
  }

  @Override
  public boolean deliver() {
    Optional<HttpResponse> response = waiting.getAndSet(Optional.empty());
    if (response.isEmpty()) {
      return false;
    }
    HttpResponse given = response.get();
    if (isComplete(given)) {
      return caller.respond(caller.responses().fromTarget(caller.id(), given, given.entity()));
    }
    delivered = true;
    boolean first =
        caller.respondStream(
            caller.responses().fromTarget(caller.id(), given, watched(given.entity())));
    if (!first) {
      cancel();
    }
    return first;
  }

  @Override
  public void cancel() {
    waiting.set(Optional.empty());
    if (ended.compareAndSet(false, true)) {
      close();
      if (delivered) {
        caller.ended();
      }
    }
  }

  /** A late or crossed response carries the id of the request that it answers. */
  private boolean isOfAnotherRequest(HttpResponse response, TargetHead head) {
    Optional<String> echoed =
        response.getHeader(options.names().requestId()).map(header -> header.value().strip());
    return echoed.isPresent()
        ? !echoed.get().equals(caller.id())
        : options.idEchoed() && !head.notRun();
  }

  /**
   * These statuses tell a caller that its request has not run, which only this target could say.
   */
  private boolean isRefusalWithoutPromise(TargetHead head) {
    return !idempotent && NOT_RUN_STATUSES.contains(head.status());
  }

  private long readLimit(HttpResponse response) {
    long limit = Math.max(options.bufferedBytes(), claimed ? StoredAnswer.MAX_BODY_BYTES : 0);
    return response.entity().getContentLengthOption().orElse(0) > limit ? 0 : limit;
  }

  /** Reads the body up to a limit; a larger one is passed on as a stream. */
  private void readStart(HttpResponse response, TargetHead head, long limit) {
    response
        .entity()
        .getDataBytes()
        .groupedWeighted(limit + 1, bytes -> (long) bytes.size())
        .map(group -> group.stream().reduce(ByteString.emptyByteString(), ByteString::concat))
        .prefixAndTail(1)
        .runWith(Sink.head(), materializer)
        .whenComplete(
            (read, failure) -> {
              if (failure != null) {
                breakOff();
                return;
              }
              ByteString start =
                  read.first().isEmpty() ? ByteString.emptyByteString() : read.first().getFirst();
              if (start.size() <= limit) {
                reportSmall(response, head, start);
              } else {
                report(
                    response.withEntity(
                        sameFraming(response.entity(), Source.single(start).concat(read.second()))),
                    head,
                    Optional.empty());
              }
            });
  }

  private void reportSmall(HttpResponse response, TargetHead head, ByteString body) {
    HttpEntity.Strict entity = HttpEntities.create(response.entity().getContentType(), body);
    Optional<StoredAnswer> answer =
        claimed && body.size() <= StoredAnswer.MAX_BODY_BYTES
            ? Optional.of(
                new StoredAnswer(
                    head.status(), response.entity().getContentType().toString(), body.toArray()))
            : Optional.empty();
    boolean endedItself = response.entity().isCloseDelimited();
    report(
        response.withEntity((ResponseEntity) entity), endedItself ? head.closing() : head, answer);
  }

  private void report(HttpResponse response, TargetHead head, Optional<StoredAnswer> answer) {
    if (ended.get()) {
      return;
    }
    waiting.set(Optional.of(response));
    events.accept(
        new SendEvent.Head(
            response.status().intValue(), head.draining(), head.retryAfter(), answer));
    if (isComplete(response)) {
      complete(head.closes());
    }
  }

  private void complete(boolean closes) {
    if (end(new SendEvent.Completed())) {
      release(closes);
    }
  }

  private void release(boolean closes) {
    Optional<TargetConnection> carrier = connection.get();
    if (requestSent && !closes) {
      carrier.ifPresent(reuse);
    } else {
      close();
    }
  }

  private void discard(HttpResponse response) {
    if (response.entity().isStrict()) {
      release(HopByHop.closes(response));
    } else {
      close();
    }
  }

  private void breakOff() {
    if (end(new SendEvent.Broken())) {
      close();
    }
  }

  private boolean end(SendEvent event) {
    boolean first = ended.compareAndSet(false, true);
    if (first) {
      events.accept(event);
    }
    return first;
  }

  private void close() {
    connection.get().ifPresent(TargetConnection::close);
  }

  private ResponseEntity watched(ResponseEntity entity) {
    return sameFraming(entity, entity.getDataBytes().via(new EndWatch(new ResponseWatch())));
  }

  private static ResponseEntity sameFraming(ResponseEntity entity, Source<ByteString, ?> bytes) {
    return entity.getContentLengthOption().isPresent()
        ? HttpEntities.create(
            entity.getContentType(), entity.getContentLengthOption().getAsLong(), bytes)
        : HttpEntities.createChunked(entity.getContentType(), bytes);
  }

  private boolean isComplete(HttpResponse response) {
    return response.entity().isStrict() || hasNoBody(response);
  }

  /** The response to HEAD names the length of a body that doesn't come. */
  private boolean hasNoBody(HttpResponse response) {
    return caller.request().method().equals(HttpMethods.HEAD) || response.entity().isKnownEmpty();
  }

  private final class RequestWatch implements EndWatch.Listener {
    @Override
    public void completed() {
      requestSent = true;
    }

    @Override
    public void failed(Throwable cause) {
      boolean first =
          end(
              cause instanceof EntityStreamSizeException tooLarge
                  ? new SendEvent.BodyTooLarge(tooLarge.limit())
                  : new SendEvent.CallerLeft());
      if (first) {
        close();
      }
    }

    @Override
    public void cancelled() {
      // The connection ended, which is reported by the connection.
    }
  }

  private final class ResponseWatch implements EndWatch.Listener {
    @Override
    public void started() {
      caller.bodyStarted();
    }

    @Override
    public void completed() {
      complete(false);
      caller.ended();
    }

    @Override
    public void failed(Throwable cause) {
      breakOff();
      caller.ended();
    }

    @Override
    public void cancelled() {
      if (end(new SendEvent.CallerLeft())) {
        close();
      }
      caller.ended();
    }
  }

  /** What the head of a response says to bergamotcross. */
  record TargetHead(
      int status, boolean notRun, boolean draining, boolean closes, Optional<Duration> retryAfter) {
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int MISDIRECTED = 421;

    static TargetHead read(HttpResponse response, HeaderNames names) {
      int status = response.status().intValue();
      boolean misdirected = status == MISDIRECTED && names.expectedTarget().isPresent();
      return new TargetHead(
          status,
          misdirected || (status >= FIRST_CLIENT_ERROR && isTrue(response, names.notRun())),
          isTrue(response, names.draining()),
          HopByHop.closes(response),
          response.getHeader("Retry-After").flatMap(h -> seconds(h.value())));
    }

    TargetHead closing() {
      return new TargetHead(status, notRun, draining, true, retryAfter);
    }

    private static boolean isTrue(HttpResponse response, String name) {
      return response
          .getHeader(name)
          .filter(h -> TRUE_VALUES.contains(h.value().strip()))
          .isPresent();
    }

    private static Optional<Duration> seconds(String text) {
      try {
        return Optional.of(Duration.ofSeconds(Math.max(0, Integer.parseInt(text.strip()))));
      } catch (NumberFormatException e) {
        // Retry-After may also hold a date, which needs the target's clock.
        return Optional.empty();
      }
    }
  }
}
