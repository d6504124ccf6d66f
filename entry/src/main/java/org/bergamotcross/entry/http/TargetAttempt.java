package org.bergamotcross.entry.http;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.regex.Pattern;
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
import org.bergamotcross.core.admission.StoredResponse;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.entry.AttemptEvent;
import org.bergamotcross.entry.TargetSender;

/**
 * One attempt to run a request at a target; connects the caller's exchange with a target
 * connection.
 *
 * <p>The response is held back until the routing duty delivers or cancels it. A late response
 * therefore never reaches a caller whose request has already been refused or answered.
 */
final class TargetAttempt implements TargetSender.AttemptHandle, TargetConnection.ResponseListener {
  private static final Set<Integer> STATUSES_IMPLYING_NOT_RUN = Set.of(408, 421, 429, 503);
  private static final Set<String> TRUE_VALUES = Set.of("true", "1");

  private final CallerExchange exchange;
  private final boolean claimed;
  private final boolean idempotent;
  private final HttpOptions options;
  private final ResponseBufferBudget buffers;
  private final Materializer materializer;
  private final Consumer<AttemptEvent> events;
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
   * @param exchange the caller's exchange
   * @param request the admitted request; if it is claimed, a small response body is read in full
   *     before the response is reported
   * @param options the configured handling of responses
   * @param buffers the memory for response bodies that are read in full
   * @param materializer runs the streams
   * @param events receives the progress of the attempt
   * @param releaseForReuse takes connections that can carry another request
   */
  TargetAttempt(
      CallerExchange exchange,
      AdmittedRequest request,
      HttpOptions options,
      ResponseBufferBudget buffers,
      Materializer materializer,
      Consumer<AttemptEvent> events,
      Consumer<TargetConnection> releaseForReuse) {
    this.exchange = exchange;
    this.claimed = request.claimed();
    this.idempotent = request.idempotent();
    this.options = options;
    this.buffers = buffers;
    this.materializer = materializer;
    this.events = events;
    this.releaseForReuse = releaseForReuse;
  }

  /**
   * Attaches the attempt to the connection that carries it; closes the connection if the attempt
   * has already finished.
   *
   * @param carrier the connection that sends the request
   */
  void attachTo(TargetConnection carrier) {
    connection.set(Optional.of(carrier));
    if (finished.get()) {
      carrier.close();
    }
  }

  /**
   * Returns the entity to send to the target.
   *
   * @return the caller's entity; a streamed one is observed, because a failure of the stream
   *     determines the outcome of the attempt
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
    finish(new AttemptEvent.ConnectFailed());
  }

  @Override
  public void onConnectionLost() {
    finish(new AttemptEvent.ConnectionBroken());
  }

  @Override
  public void onResponseHead(HttpResponse response) {
    ResponseHead head = ResponseHead.read(response, options.names());
    if (belongsToAnotherRequest(response, head)) {
      failAsBroken();
    } else if (head.notRun()) {
      if (finish(new AttemptEvent.RequestShed(head.draining(), head.retryAfter()))) {
        discard(response);
      }
    } else if (response.entity().isCloseDelimited() && !options.closeDelimitedAccepted()) {
      // A complete body and one cut by a target failure both end with the connection.
      failAsBroken();
    } else if (impliesNotRunWithoutConfirmation(head)) {
      failAsBroken();
    } else if (!isFullyReceived(response) && reserveBuffer(response)) {
      bufferBody(response, head, bufferLimitBytes(response));
    } else if (claimed && response.entity() instanceof HttpEntity.Strict strict) {
      reportBuffered(response, head, strict.getData());
    } else {
      reportHead(response, head, Optional.empty());
    }
  }

  @Override
  public boolean deliverResponse() {
    Optional<HttpResponse> response = undeliveredResponse.getAndSet(Optional.empty());
    if (response.isEmpty()) {
      return false;
    }
    HttpResponse held = response.get();
    if (isFullyReceived(held)) {
      return exchange.respond(exchange.responses().fromTarget(exchange.id(), held, held.entity()));
    }
    streamDelivered = true;
    boolean accepted =
        exchange.respondStreaming(
            exchange.responses().fromTarget(exchange.id(), held, observeBody(held.entity())));
    if (!accepted) {
      cancel();
    }
    return accepted;
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

  /**
   * Detects a late or mismatched response by the request id that the target echoes.
   *
   * <p>A rejection without the id counts only as the first response on its connection, where it
   * can't be a copy of an earlier one.
   */
  private boolean belongsToAnotherRequest(HttpResponse response, ResponseHead head) {
    Optional<String> echoed = echoedRequestId(response);
    return echoed.isPresent()
        ? !echoed.get().equals(exchange.id())
        : options.requestIdEchoed() && (!head.notRun() || isOnReusedConnection());
  }

  private Optional<String> echoedRequestId(HttpResponse response) {
    return response.getHeader(options.names().requestId()).map(header -> header.value().strip());
  }

  private boolean isOnReusedConnection() {
    return connection.get().filter(TargetConnection::isReused).isPresent();
  }

  /**
   * Tells whether the status suggests to the caller that its request has not run, although the
   * target did not confirm it with the not-run header.
   */
  private boolean impliesNotRunWithoutConfirmation(ResponseHead head) {
    return !idempotent && STATUSES_IMPLYING_NOT_RUN.contains(head.status());
  }

  private int bufferLimitBytes(HttpResponse response) {
    int limit =
        Math.max(options.responseBufferBytes(), claimed ? StoredResponse.MAX_BODY_BYTES : 0);
    long length = response.entity().getContentLengthOption().orElse(limit);
    return length > limit ? 0 : (int) length;
  }

  private boolean reserveBuffer(HttpResponse response) {
    int bytes = bufferLimitBytes(response);
    return bytes > 0 && buffers.tryReserve(bytes);
  }

  /** Reads the body into memory up to a limit; a larger one is streamed to the caller. */
  private void bufferBody(HttpResponse response, ResponseHead head, int limit) {
    bodyBytes(response.entity())
        .via(new LeadingBytes(limit))
        .prefixAndTail(1)
        .runWith(Sink.head(), materializer)
        .whenComplete(
            (read, failure) -> {
              buffers.release(limit);
              if (failure != null) {
                failAsBroken();
                return;
              }
              LeadingBytes.Part prefix = read.first().getFirst();
              if (prefix.isWholeBody()) {
                reportBuffered(response, head, prefix.bytes());
              } else {
                Source<ByteString, ?> rest = read.second().map(LeadingBytes.Part::bytes);
                reportHead(
                    response.withEntity(
                        entityWithSameFraming(
                            response.entity(), Source.single(prefix.bytes()).concat(rest))),
                    head,
                    Optional.empty());
              }
            });
  }

  private void reportBuffered(HttpResponse response, ResponseHead head, ByteString body) {
    HttpEntity.Strict entity = HttpEntities.create(response.entity().getContentType(), body);
    Optional<StoredResponse> stored =
        claimed && body.size() <= StoredResponse.MAX_BODY_BYTES
            ? Optional.of(
                new StoredResponse(
                    head.status(), response.entity().getContentType().toString(), body.toArray()))
            : Optional.empty();
    boolean closeDelimited = response.entity().isCloseDelimited();
    reportHead(
        response.withEntity((ResponseEntity) entity),
        closeDelimited ? head.withConnectionClose() : head,
        stored);
  }

  private void reportHead(
      HttpResponse response, ResponseHead head, Optional<StoredResponse> stored) {
    if (finished.get()) {
      return;
    }
    undeliveredResponse.set(Optional.of(response));
    events.accept(
        new AttemptEvent.ResponseHead(
            response.status().intValue(), head.draining(), head.retryAfter(), stored));
    if (isFullyReceived(response)) {
      complete(head.closesConnection());
    }
  }

  private void complete(boolean closes) {
    if (finish(new AttemptEvent.ResponseCompleted())) {
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

  /** Closes the connection of a rejection without a request id, whose copy would match any id. */
  private void discard(HttpResponse response) {
    if (response.entity().isStrict() && echoedRequestId(response).isPresent()) {
      releaseConnection(HopByHopHeaders.closesConnection(response));
    } else {
      closeConnection();
    }
  }

  private void failAsBroken() {
    if (finish(new AttemptEvent.ConnectionBroken())) {
      closeConnection();
    }
  }

  private boolean finish(AttemptEvent event) {
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
        entity, bodyBytes(entity).via(new TerminationObserver(new ResponseBodyObserver())));
  }

  private Source<ByteString, ?> bodyBytes(ResponseEntity entity) {
    return entity
        .getDataBytes()
        .map(
            bytes -> {
              connection.get().ifPresent(TargetConnection::markProgress);
              return bytes;
            });
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

  /** A response to HEAD has a Content-Length but no body. */
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
                  ? new AttemptEvent.BodyTooLarge(tooLarge.limit())
                  : new AttemptEvent.CallerDisconnected());
      if (first) {
        closeConnection();
      }
    }

    @Override
    public void onCancel() {
      // The connection has ended; TargetConnection reports it.
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
      if (finish(new AttemptEvent.CallerDisconnected())) {
        closeConnection();
      }
      exchange.finish();
    }
  }

  /** The parts of a response head that decide how the response is handled. */
  record ResponseHead(
      int status,
      boolean notRun,
      boolean draining,
      boolean closesConnection,
      Optional<Duration> retryAfter) {
    private static final int MIN_ERROR_STATUS = 400;
    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,12}(\\.[0-9]{0,9})?");
    private static final double NANOS_PER_SECOND = 1e9;
    // Keeps a nonsensical value within the range of a duration; TargetNotices bounds the pause.
    private static final double MAX_RETRY_AFTER_SECONDS = 86_400;
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

    /**
     * Parses a Retry-After in seconds, with or without a fraction. An HTTP date depends on the
     * target's clock and is ignored, like any other text.
     */
    private static Optional<Duration> parseSeconds(String text) {
      return Optional.of(text.strip())
          .filter(seconds -> SECONDS.matcher(seconds).matches())
          .map(seconds -> Math.min(Double.parseDouble(seconds), MAX_RETRY_AFTER_SECONDS))
          .map(seconds -> Duration.ofNanos((long) (seconds * NANOS_PER_SECOND)));
    }
  }
}
