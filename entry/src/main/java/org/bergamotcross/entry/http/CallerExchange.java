package org.bergamotcross.entry.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.core.admission.StoredResponse;
import org.bergamotcross.entry.RequestHandle;
import org.bergamotcross.kernel.EventLog;

/** A caller's request and its response; only the first response takes effect. */
final class CallerExchange implements RequestHandle {

  /** Completes the response of a caller that closed its connection before it got one. */
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
  private final CompletableFuture<Void> finished = new CompletableFuture<>();
  private volatile boolean bodyStarted;
  private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

  /**
   * Opens an exchange and counts it as open.
   *
   * @param request the caller's request
   * @param id the request id
   * @param responses encodes the responses
   * @param events the event log
   * @param closeConnections whether responses get {@code Connection: close}, so that the caller
   *     opens a new connection for its next request
   * @param openExchanges the number of open exchanges of this instance
   */
  CallerExchange(
      HttpRequest request,
      String id,
      CallerResponseEncoder responses,
      EventLog events,
      BooleanSupplier closeConnections,
      AtomicInteger openExchanges) {
    this.request = request;
    this.id = id;
    this.responses = responses;
    this.events = events;
    this.closeConnections = closeConnections;
    this.openExchanges = openExchanges;
    openExchanges.incrementAndGet();
  }

  /**
   * Returns the request id; other open requests may have the same one.
   *
   * @return the id
   */
  String id() {
    return id;
  }

  /**
   * Returns the encoder for responses to this instance's callers.
   *
   * @return the encoder
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
   * Returns the future response.
   *
   * @return a stage completed once, with the response or with the reason why there is none
   */
  CompletionStage<HttpResponse> response() {
    return response;
  }

  /**
   * Responds with a streamed body; {@link #finish} must be called when the stream has ended.
   *
   * @param httpResponse the response
   * @return whether this was the first response, which the caller gets
   */
  boolean respondStreaming(HttpResponse httpResponse) {
    return response.complete(
        closeConnections.getAsBoolean()
            ? CallerResponseEncoder.withConnectionClose(httpResponse)
            : httpResponse);
  }

  /**
   * Responds with a body that is completely in memory, and finishes the exchange.
   *
   * @param httpResponse the response
   * @return whether this was the first response, which the caller gets
   */
  boolean respond(HttpResponse httpResponse) {
    boolean accepted = respondStreaming(httpResponse);
    if (accepted) {
      finish();
    }
    return accepted;
  }

  /**
   * Tells whether the caller still waits for a response.
   *
   * @return false once there is a response or the caller has disconnected
   */
  boolean isAwaited() {
    return !response.isDone();
  }

  /** Records that the response body is being written to the caller. */
  void markBodyStarted() {
    bodyStarted = true;
  }

  /**
   * Tells whether the response has a body that is not being written to the caller.
   *
   * @return true, for example, when the caller disconnected between the response head and its body
   */
  boolean isBodyUnread() {
    return !finished.isDone() && !bodyStarted;
  }

  /** Closes the exchange: the whole response was written, or it never will be. */
  void finish() {
    if (finished.complete(null)) {
      openExchanges.decrementAndGet();
    }
  }

  /**
   * Runs an action once the exchange is closed, at once if it is already.
   *
   * @param action the action
   */
  void whenFinished(Runnable action) {
    CompletionStage<Void> end = finished;
    end.thenRun(action);
  }

  /**
   * Closes the exchange without a response, because the caller has disconnected.
   *
   * @return false if there already was a response
   */
  boolean abandon() {
    boolean abandoned = response.completeExceptionally(new CallerGoneException());
    if (abandoned) {
      finish();
    }
    return abandoned;
  }

  @Override
  public void refuse(Refusal refusal) {
    HttpResponse refused = responses.fromRefusal(id, refusal);
    // Close the connection: an unread request body would be parsed as the next request.
    boolean bodyUnread = !request.entity().isStrict();
    if (respond(bodyUnread ? CallerResponseEncoder.withConnectionClose(refused) : refused)) {
      events
          .event("request.refused")
          .with("request", id)
          .with("refusal", refusal.code())
          .with("outcome", refusal.outcome().label())
          .emit();
    }
  }

  @Override
  public void replay(StoredResponse stored) {
    respond(responses.fromStoredResponse(id, stored));
  }
}
