package org.bergamotcross.entry.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.OverflowStrategy;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.TimeSource;

/** A caller's connection: handles its requests in order and detects when the caller disconnects. */
final class CallerConnection {
  /** The requests sent ahead whose time of arrival is noted while another one is handled. */
  private static final int REQUESTS_SENT_AHEAD = 8;

  /** A request and its time of arrival, from which its deadline counts. */
  private record Arrival(HttpRequest request, ClockReading time) {}

  private final BiFunction<HttpRequest, ClockReading, CallerExchange> handler;
  private final TimeSource time;
  private final Consumer<CallerExchange> onCallerDisconnected;
  private final Runnable onClosed;
  private final Consumer<Runnable> delayed;
  private final AtomicReference<Optional<CallerExchange>> current =
      new AtomicReference<>(Optional.empty());
  private volatile boolean closing;

  /**
   * Creates the state of one connection.
   *
   * @param handler starts to handle a request that arrived at a time
   * @param time the clock
   * @param onCallerDisconnected runs when the caller disconnected before its response was written
   * @param onClosed runs once when the connection has ended
   * @param delayed runs a check after a delay
   */
  CallerConnection(
      BiFunction<HttpRequest, ClockReading, CallerExchange> handler,
      TimeSource time,
      Consumer<CallerExchange> onCallerDisconnected,
      Runnable onClosed,
      Consumer<Runnable> delayed) {
    this.handler = handler;
    this.time = time;
    this.onCallerDisconnected = onCallerDisconnected;
    this.onClosed = onClosed;
    this.delayed = delayed;
  }

  /**
   * Builds the flow that handles the connection's requests.
   *
   * <p>The buffer demands the next requests while one is being handled. Without that demand Pekko
   * reads nothing from the socket and does not detect that the caller closed it.
   *
   * @param shutdown closes the connection once the current response has been written
   * @return a flow for one materialization
   */
  Flow<HttpRequest, HttpResponse, NotUsed> flow(SharedKillSwitch shutdown) {
    return Flow.<HttpRequest>create()
        .via(shutdown.flow())
        .watchTermination(
            (none, ended) -> {
              ended.whenComplete((done, failure) -> onInputEnd());
              return none;
            })
        .map(request -> new Arrival(request, time.now()))
        .buffer(REQUESTS_SENT_AHEAD, OverflowStrategy.backpressure())
        .mapAsync(1, this::handle)
        .watchTermination(
            (none, ended) -> {
              ended.whenComplete((done, failure) -> onTermination());
              return none;
            });
  }

  /**
   * Tells whether a request awaits its response.
   *
   * @return false between two requests
   */
  boolean hasOpenRequest() {
    return current.get().isPresent();
  }

  private CompletionStage<HttpResponse> handle(Arrival arrival) {
    if (closing) {
      // Never completed: the connection closes behind the previous response, and the caller sends
      // this request again.
      return new CompletableFuture<>();
    }
    CallerExchange exchange = handler.apply(arrival.request(), arrival.time());
    Optional<CallerExchange> opened = Optional.of(exchange);
    current.set(opened);
    // An idle connection would otherwise keep its last request and response in memory.
    exchange.whenFinished(() -> current.compareAndSet(opened, Optional.empty()));
    return exchange.response().thenApply(this::noteClose);
  }

  private HttpResponse noteClose(HttpResponse response) {
    closing |= HopByHopHeaders.closesConnection(response);
    return response;
  }

  /**
   * Abandons the current exchange when the caller has closed its side. After {@code Connection:
   * close} Pekko ends the input itself, so the end does not mean that the caller disconnected.
   */
  private void onInputEnd() {
    current
        .get()
        .filter(exchange -> !HopByHopHeaders.closesConnection(exchange.request()))
        .ifPresent(this::abandon);
  }

  /**
   * Abandons the current exchange and checks later for a response body that nobody reads. Pekko
   * never reads the body of a response that was completed while the connection closed, and its
   * target would go on until the deadline. A body that will be read starts at once.
   */
  private void onTermination() {
    current.get().ifPresent(this::abandon);
    current
        .get()
        .filter(CallerExchange::isBodyUnread)
        .ifPresent(exchange -> delayed.accept(() -> cancelIfBodyUnread(exchange)));
    onClosed.run();
  }

  private void cancelIfBodyUnread(CallerExchange exchange) {
    if (exchange.isBodyUnread()) {
      onCallerDisconnected.accept(exchange);
    }
  }

  private void abandon(CallerExchange exchange) {
    if (exchange.abandon()) {
      onCallerDisconnected.accept(exchange);
    }
  }
}
