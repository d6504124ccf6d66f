package org.bergamotcross.entry.http;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.OverflowStrategy;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;

/** One connection of a caller: handles its requests in order and notices when the caller leaves. */
final class CallerConnection {
  private final Function<HttpRequest, CallerExchange> handler;
  private final Consumer<CallerExchange> onCallerGone;
  private final Runnable onClosed;
  private final Consumer<Runnable> delayed;
  private final AtomicReference<Optional<CallerExchange>> current =
      new AtomicReference<>(Optional.empty());

  CallerConnection(
      Function<HttpRequest, CallerExchange> handler,
      Consumer<CallerExchange> onGone,
      Runnable onClosed,
      Consumer<Runnable> later) {
    this.handler = handler;
    this.onCallerGone = onGone;
    this.onClosed = onClosed;
    this.delayed = later;
  }

  /**
   * Builds the flow of the connection.
   *
   * <p>The buffer asks for the next request while one is in hand. Without that demand Pekko reads
   * nothing from the socket and doesn't see that the caller closed it.
   *
   * @param idle closes the connection after the response in hand
   * @return a flow for one materialization
   */
  Flow<HttpRequest, HttpResponse, NotUsed> flow(SharedKillSwitch idle) {
    return Flow.<HttpRequest>create()
        .via(idle.flow())
        .watchTermination(
            (none, ended) -> {
              ended.whenComplete((done, failure) -> onInputEnd());
              return none;
            })
        .buffer(1, OverflowStrategy.backpressure())
        .mapAsync(1, this::handle)
        .watchTermination(
            (none, ended) -> {
              ended.whenComplete((done, failure) -> onTermination());
              return none;
            });
  }

  private CompletionStage<HttpResponse> handle(HttpRequest request) {
    CallerExchange exchange = handler.apply(request);
    current.set(Optional.of(exchange));
    return exchange.response();
  }

  /**
   * The caller closed its side. After {@code Connection: close} Pekko ends the input itself, so
   * that the end says nothing about the caller.
   */
  private void onInputEnd() {
    current
        .get()
        .filter(exchange -> !HopByHopHeaders.closesConnection(exchange.request()))
        .ifPresent(this::abandon);
  }

  /**
   * A response that was given while the connection went down has a body that Pekko never reads, and
   * its target would go on until the deadline. A body that will be read starts at once.
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
      onCallerGone.accept(exchange);
    }
  }

  private void abandon(CallerExchange exchange) {
    if (exchange.abandon()) {
      onCallerGone.accept(exchange);
    }
  }
}
