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
final class TargetAttempt implements TargetSender.Sending, TargetConnection.ResponseListener {
  private static final Set<Integer> STATUSES_IMPLYING_NOT_RUN = Set.of(408, 421, 429, 503);
  private static final Set<String> TRUE_VALUES = Set.of("true", "1");

  private final CallerExchange exchange;
  private final boolean claimed;
  private final boolean idempotent;
  private final HttpOptions options;
  private final Materializer materializer;
  private final Consumer<SendEvent> events;
  private final Consumer<TargetConnection> releaseForReuse;
  private final AtomicBoolean finished = new AtomicBoolean();
  private final AtomicReference<Optional<TargetConnection>> connection =
      new AtomicReference<>(Optional.empty());
  private final AtomicReference<Optional<HttpResponse>> undeliveredResponse =
      new AtomicReference<>(Optional.empty());
  private volatile boolean requestBodySent;
  private volatile boolean streamDelivered;

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
  TargetAttempt(
      CallerExchange caller,
      AdmittedRequest request,
      HttpOptions options,
      Materializer materializer,
      Consumer<SendEvent> events,
      Consumer<TargetConnection> reuse) {
    this.exchange = caller;
    this.claimed = request.claimed();
    this.idempotent = request.idempotent();
    this.options = options;
    this.materializer = materializer;
    this.events = events;
    this.releaseForReuse = reuse;
  }

  /**
   * Ties the attempt to the connection that carries it.
   *
   * @param carrier the connection
   */
  void attachTo(TargetConnection carrier) {
    connection.set(Optional.of(carrier));
    if (finished.get()) {
      carrier.close();
    }
  }

  /**
   * Returns the body to send.
   *
   * @return the caller's body; a stream is watched, because its failure decides the outcome
   */
  RequestEntity requestEntity() {
    RequestEntity entity = exchange.request().entity();
    if (entity.isStrict()) {
      requestBodySent = true;
      return entity;
    }
    Source<ByteString, ?> bytes =
        entity.getDataBytes().via(new TerminationObserver(new RequestBodyObserver()));
    return entity.getContentLengthOption().isPresent()
        ? HttpEntities.create(
            entity.getContentType(), entity.getContentLengthOption().getAsLong(), bytes)
        : HttpEntities.createChunked(entity.getContentType(), bytes);
  }

  @Override
  public void onConnectFailed() {
    finish(new SendEvent.ConnectFailed());
  }

  @Override
  public void onConnectionLost() {
    finish(new SendEvent.Broken());
  }

  @Override
  public void onResponseHead(HttpResponse response) {
    ResponseHead head = ResponseHead.read(response, options.names());
    if (belongsToAnotherRequest(response, head)) {
      failAsBroken();
    } else if (head.notRun()) {
      if (finish(new SendEvent.Shed(head.draining(), head.retryAfter()))) {
        discard(response);
      }
    } else if (response.entity().isCloseDelimited() && !options.closeDelimitedAccepted()) {
      // Its end is the same whether the target finished or broke.
      failAsBroken();
    } else if (impliesNotRunWithoutConfirmation(head)) {
      failAsBroken();
    } else if (!isFullyReceived(response) && bufferLimitBytes(response) > 0) {
      bufferBody(response, head, bufferLimitBytes(response));
    } else if (claimed && response.entity() instanceof HttpEntity.Strict strict) {
      reportBuffered(response, head, strict.getData());
    } else {
      reportHead(response, head, Optional.empty());
    }
  }

  @Override
  public boolean deliver() {
    Optional<HttpResponse> response = undeliveredResponse.getAndSet(Optional.empty());
    if (response.isEmpty()) {
      return false;
    }
    HttpResponse given = response.get();
    if (isFullyReceived(given)) {
      return exchange.respond(
          exchange.responses().fromTarget(exchange.id(), given, given.entity()));
    }
    streamDelivered = true;
    boolean first =
        exchange.respondStreaming(
            exchange.responses().fromTarget(exchange.id(), given, observeBody(given.entity())));
    if (!first) {
      cancel();
    }
    return first;
  }

  @Override
  public void cancel() {
    undeliveredResponse.set(Optional.empty());
    if (finished.compareAndSet(false, true)) {
      closeConnection();
      if (streamDelivered) {
        exchange.finish();
      }
    }
  }

  /** A late or crossed response carries the id of the request that it answers. */
  private boolean belongsToAnotherRequest(HttpResponse response, ResponseHead head) {
    Optional<String> echoed =
        response.getHeader(options.names().requestId()).map(header -> header.value().strip());
    return echoed.isPresent()
        ? !echoed.get().equals(exchange.id())
        : options.requestIdEchoed() && !head.notRun();
  }

  /**
   * These statuses tell a caller that its request has not run, which only this target could say.
   */
  private boolean impliesNotRunWithoutConfirmation(ResponseHead head) {
    return !idempotent && STATUSES_IMPLYING_NOT_RUN.contains(head.status());
  }

  private long bufferLimitBytes(HttpResponse response) {
    long limit = Math.max(options.responseBufferBytes(), claimed ? StoredAnswer.MAX_BODY_BYTES : 0);
    return response.entity().getContentLengthOption().orElse(0) > limit ? 0 : limit;
  }

  /** Reads the body up to a limit; a larger one is passed on as a stream. */
  private void bufferBody(HttpResponse response, ResponseHead head, long limit) {
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
                failAsBroken();
                return;
              }
              ByteString start =
                  read.first().isEmpty() ? ByteString.emptyByteString() : read.first().getFirst();
              if (start.size() <= limit) {
                reportBuffered(response, head, start);
              } else {
                reportHead(
                    response.withEntity(
                        entityWithSameFraming(
                            response.entity(), Source.single(start).concat(read.second()))),
                    head,
                    Optional.empty());
              }
            });
  }

  private void reportBuffered(HttpResponse response, ResponseHead head, ByteString body) {
    HttpEntity.Strict entity = HttpEntities.create(response.entity().getContentType(), body);
    Optional<StoredAnswer> answer =
        claimed && body.size() <= StoredAnswer.MAX_BODY_BYTES
            ? Optional.of(
                new StoredAnswer(
                    head.status(), response.entity().getContentType().toString(), body.toArray()))
            : Optional.empty();
    boolean endedItself = response.entity().isCloseDelimited();
    reportHead(
        response.withEntity((ResponseEntity) entity),
        endedItself ? head.withConnectionClose() : head,
        answer);
  }

  private void reportHead(HttpResponse response, ResponseHead head, Optional<StoredAnswer> answer) {
    if (finished.get()) {
      return;
    }
    undeliveredResponse.set(Optional.of(response));
    events.accept(
        new SendEvent.Head(
            response.status().intValue(), head.draining(), head.retryAfter(), answer));
    if (isFullyReceived(response)) {
      complete(head.closesConnection());
    }
  }

  private void complete(boolean closes) {
    if (finish(new SendEvent.Completed())) {
      releaseConnection(closes);
    }
  }

  private void releaseConnection(boolean closes) {
    Optional<TargetConnection> carrier = connection.get();
    if (requestBodySent && !closes) {
      carrier.ifPresent(releaseForReuse);
    } else {
      closeConnection();
    }
  }

  private void discard(HttpResponse response) {
    if (response.entity().isStrict()) {
      releaseConnection(HopByHopHeaders.closesConnection(response));
    } else {
      closeConnection();
    }
  }

  private void failAsBroken() {
    if (finish(new SendEvent.Broken())) {
      closeConnection();
    }
  }

  private boolean finish(SendEvent event) {
    boolean first = finished.compareAndSet(false, true);
    if (first) {
      events.accept(event);
    }
    return first;
  }

  private void closeConnection() {
    connection.get().ifPresent(TargetConnection::close);
  }

  private ResponseEntity observeBody(ResponseEntity entity) {
    return entityWithSameFraming(
        entity, entity.getDataBytes().via(new TerminationObserver(new ResponseBodyObserver())));
  }

  private static ResponseEntity entityWithSameFraming(
      ResponseEntity entity, Source<ByteString, ?> bytes) {
    return entity.getContentLengthOption().isPresent()
        ? HttpEntities.create(
            entity.getContentType(), entity.getContentLengthOption().getAsLong(), bytes)
        : HttpEntities.createChunked(entity.getContentType(), bytes);
  }

  private boolean isFullyReceived(HttpResponse response) {
    return response.entity().isStrict() || hasEmptyBody(response);
  }

  /** The response to HEAD names the length of a body that doesn't come. */
  private boolean hasEmptyBody(HttpResponse response) {
    return exchange.request().method().equals(HttpMethods.HEAD) || response.entity().isKnownEmpty();
  }

  private final class RequestBodyObserver implements TerminationObserver.Listener {
    @Override
    public void onComplete() {
      requestBodySent = true;
    }

    @Override
    public void onFailure(Throwable cause) {
      boolean first =
          finish(
              cause instanceof EntityStreamSizeException tooLarge
                  ? new SendEvent.BodyTooLarge(tooLarge.limit())
                  : new SendEvent.CallerLeft());
      if (first) {
        closeConnection();
      }
    }

    @Override
    public void onCancel() {
      // The connection ended, which is reported by the connection.
    }
  }

  private final class ResponseBodyObserver implements TerminationObserver.Listener {
    @Override
    public void onStart() {
      exchange.markBodyStarted();
    }

    @Override
    public void onComplete() {
      complete(false);
      exchange.finish();
    }

    @Override
    public void onFailure(Throwable cause) {
      failAsBroken();
      exchange.finish();
    }

    @Override
    public void onCancel() {
      if (finish(new SendEvent.CallerLeft())) {
        closeConnection();
      }
      exchange.finish();
    }
  }

  /** What the head of a response says to bergamotcross. */
  record ResponseHead(
      int status,
      boolean notRun,
      boolean draining,
      boolean closesConnection,
      Optional<Duration> retryAfter) {
    private static final int MIN_ERROR_STATUS = 400;
    private static final int MISDIRECTED_REQUEST = 421;

    static ResponseHead read(HttpResponse response, HeaderNames names) {
      int status = response.status().intValue();
      boolean misdirected = status == MISDIRECTED_REQUEST && names.expectedTarget().isPresent();
      return new ResponseHead(
          status,
          misdirected || (status >= MIN_ERROR_STATUS && hasTrueValue(response, names.notRun())),
          hasTrueValue(response, names.draining()),
          HopByHopHeaders.closesConnection(response),
          response.getHeader("Retry-After").flatMap(h -> parseSeconds(h.value())));
    }

    ResponseHead withConnectionClose() {
      return new ResponseHead(status, notRun, draining, true, retryAfter);
    }

    private static boolean hasTrueValue(HttpResponse response, String name) {
      return response
          .getHeader(name)
          .filter(h -> TRUE_VALUES.contains(h.value().strip()))
          .isPresent();
    }

    private static Optional<Duration> parseSeconds(String text) {
      try {
        return Optional.of(Duration.ofSeconds(Math.max(0, Integer.parseInt(text.strip()))));
      } catch (NumberFormatException e) {
        // Retry-After may also hold a date, which needs the target's clock.
        return Optional.empty();
      }
    }
  }
}
