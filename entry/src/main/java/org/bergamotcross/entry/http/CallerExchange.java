package org.bergamotcross.entry.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.core.admission.StoredAnswer;
import org.bergamotcross.entry.RequestHandle;
import org.bergamotcross.kernel.EventLog;

/** One request of a caller and its one response; the first response that is given counts. */
final class CallerExchange implements RequestHandle {

  /** The caller closed its connection before it had a response. */
  static final class CallerGoneException extends Exception {
    private static final long serialVersionUID = 1L;

    CallerGoneException() {
      super("the caller closed its connection", null, false, false);
    }
  }

  private final HttpRequest request;
  private final String id;
  private final CallerResponseEncoder responses;
  private final EventLog events;
  private final BooleanSupplier closeConnections;
  private final AtomicInteger openExchanges;
  private final AtomicBoolean isOpen = new AtomicBoolean(true);
  private volatile boolean markBodyStarted;
  private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

  /**
   * Opens an exchange.
   *
   * @param request the caller's request
   * @param id the request id
   * @param responses builds the responses
   * @param events the event log
   * @param closing whether the caller shall open a new connection for its next request
   * @param open counts the open exchanges
   */
  CallerExchange(
      HttpRequest request,
      String id,
      CallerResponseEncoder responses,
      EventLog events,
      BooleanSupplier closing,
      AtomicInteger open) {
    this.request = request;
    this.id = id;
    this.responses = responses;
    this.events = events;
    this.closeConnections = closing;
    this.openExchanges = open;
    open.incrementAndGet();
  }

  /**
   * Returns the request id.
   *
   * @return the id, which other open requests may share
   */
  String id() {
    return id;
  }

  /**
   * Returns the encoder of responses.
   *
   * @return the encoder for the callers of this instance
   */
  CallerResponseEncoder responses() {
    return responses;
  }

  /**
   * Returns the caller's request.
   *
   * @return the request with all its headers
   */
  HttpRequest request() {
    return request;
  }

  /**
   * Returns the response to come.
   *
   * @return completed once, with the response or with the reason why there is none
   */
  CompletionStage<HttpResponse> response() {
    return response;
  }

  /**
   * Gives a response whose body is a stream; {@link #finish} must follow.
   *
   * @param given the response
   * @return whether it is the first one
   */
  boolean respondStreaming(HttpResponse given) {
    return response.complete(
        closeConnections.getAsBoolean() ? CallerResponseEncoder.withConnectionClose(given) : given);
  }

  /**
   * Gives a response whose body is complete.
   *
   * @param given the response
   * @return whether it is the first one
   */
  boolean respond(HttpResponse given) {
    boolean first = respondStreaming(given);
    if (first) {
      finish();
    }
    return first;
  }

  /**
   * Tells whether the caller still waits.
   *
   * @return whether there was no response yet and the caller is connected
   */
  boolean isAwaited() {
    return !response.isDone();
  }

  /** Tells that the body of the response is being written. */
  void markBodyStarted() {
    markBodyStarted = true;
  }

  /**
   * Tells whether the response has a body that nobody started to read.
   *
   * @return true after a caller left between the head of its response and the body
   */
  boolean isBodyUnread() {
    return isOpen.get() && !markBodyStarted;
  }

  /** Tells that the whole response was handed over, or that it never will be. */
  void finish() {
    if (isOpen.compareAndSet(true, false)) {
      openExchanges.decrementAndGet();
    }
  }

  /**
   * Ends the exchange without a response, because nobody reads it.
   *
   * @return whether there was no response yet
   */
  boolean abandon() {
    boolean first = response.completeExceptionally(new CallerGoneException());
    if (first) {
      finish();
    }
    return first;
  }

  @Override
  public void refuse(Refusal refusal) {
    HttpResponse refused = responses.fromRefusal(id, refusal);
    // A body that was not read would be taken for the next request.
    boolean unread = !request.entity().isStrict();
    if (respond(unread ? CallerResponseEncoder.withConnectionClose(refused) : refused)) {
      events
          .event("request.refused")
          .with("request", id)
          .with("refusal", refusal.code())
          .with("outcome", refusal.outcome().text())
          .emit();
    }
  }

  @Override
  public void answer(StoredAnswer answer) {
    respond(responses.fromStoredAnswer(id, answer));
  }
}
