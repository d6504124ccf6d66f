package org.bergamotcross.entry.http;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.apache.pekko.Done;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.entry.framing.ResponseFault;
import org.bergamotcross.kernel.ClockReading;

/** A connection to a target that carries at most one request at a time. */
final class TargetConnection {

  /** Receives the progress of the request on the connection; called on Pekko threads. */
  interface ResponseListener {
    /** The connection could not be opened; no byte of the request was sent. */
    void onConnectFailed();

    /**
     * The head of the response arrived.
     *
     * @param response the response; its body may still be arriving
     */
    void onResponseHead(HttpResponse response);

    /** The connection ended before the response head arrived. */
    void onConnectionLost();
  }

  /** The handles of the running stream that implements the connection. */
  private record Streams(
      BoundedSourceQueue<HttpRequest> requests,
      UniqueKillSwitch killSwitch,
      CompletionStage<OutgoingConnection> connected,
      CompletionStage<Done> ended) {}

  private static final class ClosedException extends Exception {
    private static final long serialVersionUID = 1L;

    ClosedException() {
      super("closed by the target client", null, false, false);
    }
  }

  private final ByteCountingTransport transport;
  private final AtomicReference<Optional<ResponseListener>> listener =
      new AtomicReference<>(Optional.empty());
  private final Streams streams;
  // Used only by the thread that sends a request, which owns the connection.
  private final CarriedRequests carriedRequests = new CarriedRequests();
  private volatile boolean reused;
  private volatile Optional<Duration> keepAliveTimeout = Optional.empty();
  private volatile boolean headReceived;
  private volatile boolean closed;
  private volatile ClockReading idleSince = new ClockReading(0, 0);

  /**
   * Starts to open a connection.
   *
   * @param target the target
   * @param settings the client settings for targets
   * @param system the actor system
   * @param materializer runs the streams
   * @param faults receives the fault of the target that ends the connection
   */
  TargetConnection(
      Target target,
      ClientConnectionSettings settings,
      ActorSystem system,
      Materializer materializer,
      Consumer<ResponseFault> faults) {
    this.transport = new ByteCountingTransport(faults);
    Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> http =
        Http.get(system)
            .connectionTo(target.host())
            .toPort(target.port())
            .withClientConnectionSettings(settings.withTransport(transport))
            .http();
    Flow<HttpRequest, HttpResponse, Pair<CompletionStage<OutgoingConnection>, UniqueKillSwitch>>
        closable = http.joinMat(KillSwitches.<HttpResponse, HttpRequest>singleBidi(), Keep.both());
    Sink<HttpResponse, CompletionStage<Done>> responses = Sink.foreach(this::onResponse);
    this.streams =
        Source.<HttpRequest>queue(1)
            .viaMat(closable, Keep.both())
            .toMat(
                responses,
                (in, ended) ->
                    new Streams(in.first(), in.second().second(), in.second().first(), ended))
            .run(materializer);
    streams.ended().whenComplete((done, failure) -> onStreamEnd());
  }

  /**
   * Sends a request once the connection is open.
   *
   * @param request the request
   * @param requestId the id that the target echoes in its response
   * @param responseListener receives the progress of the request
   * @return false if the connection can't carry the request, so that no byte was sent
   */
  boolean send(HttpRequest request, String requestId, ResponseListener responseListener) {
    if (closed || !listener.compareAndSet(Optional.empty(), Optional.of(responseListener))) {
      return false;
    }
    reused = carriedRequests.size() > 0;
    carriedRequests.add(requestId);
    if (isEstablished()) {
      return offer(request);
    }
    streams
        .connected()
        .whenComplete(
            (connection, failure) -> {
              if (failure != null || !offer(request)) {
                detachListener().ifPresent(ResponseListener::onConnectFailed);
                close();
              }
            });
    return true;
  }

  private boolean offer(HttpRequest request) {
    headReceived = false;
    return !closed
        && transport.expectResponse(!request.method().equals(HttpMethods.HEAD))
        && streams.requests().offer(request).equals(QueueOfferResult.enqueued());
  }

  /**
   * Detaches the connection from its finished request and marks it as idle.
   *
   * @param now the current time
   */
  void release(ClockReading now) {
    idleSince = now;
    detachListener();
  }

  /**
   * Returns when the connection became idle.
   *
   * @return the time of the last release
   */
  ClockReading idleSince() {
    return idleSince;
  }

  /**
   * Returns how long the target keeps the connection open while it is idle.
   *
   * @return the time-out in the Keep-Alive header of the last response, or empty if it had none
   */
  Optional<Duration> keepAliveTimeout() {
    return keepAliveTimeout;
  }

  /**
   * Tells whether a request can be sent on this connection.
   *
   * @return false after the connection ended, received bytes that belong to no response, or carried
   *     as many requests as it may
   */
  boolean isUsable() {
    return !closed && !carriedRequests.isFull() && transport.isReady();
  }

  /**
   * Tells whether a response to an earlier request may be taken for the response to this one.
   *
   * @param requestId the id of the request to send
   * @return whether the connection may have carried a request with the same id
   */
  boolean mayHaveCarried(String requestId) {
    return carriedRequests.mayContain(requestId);
  }

  /**
   * Tells whether the connection carried other requests before the current one.
   *
   * @return false for the first request
   */
  boolean isReused() {
    return reused;
  }

  /** Records that a part of the response has been parsed, after which more bytes may arrive. */
  void markProgress() {
    transport.markProgress();
  }

  /** Closes the connection immediately, which cancels the request on it. */
  void close() {
    closed = true;
    detachListener();
    streams.killSwitch().abort(new ClosedException());
  }

  private void onResponse(HttpResponse response) {
    Optional<ResponseListener> current = listener.get();
    if (current.isEmpty()) {
      close();
      return;
    }
    headReceived = true;
    markProgress();
    keepAliveTimeout = KeepAliveHeader.timeout(response);
    current.get().onResponseHead(response);
  }

  /** Reports a lost connection; after the response head, the end of the body reports it instead. */
  private void onStreamEnd() {
    closed = true;
    if (isEstablished() && !headReceived) {
      detachListener().ifPresent(ResponseListener::onConnectionLost);
    }
  }

  /**
   * Tells whether the connection was established, in which case request bytes may have been sent.
   */
  private boolean isEstablished() {
    CompletableFuture<OutgoingConnection> connected = streams.connected().toCompletableFuture();
    return connected.isDone() && !connected.isCompletedExceptionally();
  }

  private Optional<ResponseListener> detachListener() {
    return listener.getAndSet(Optional.empty());
  }
}
