package org.bergamotcross.entry.http;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.Done;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnection;
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
import org.bergamotcross.kernel.Now;

/** One connection to a target, with at most one request at a time. */
final class TargetConnection {

  /** Receives what happens to the request on the connection; called on threads of Pekko. */
  interface ResponseListener {
    /** The connection could not be opened; no byte has left. */
    void onConnectFailed();

    /**
     * The head of the response arrived.
     *
     * @param response the response; its body may still be on the way
     */
    void onResponseHead(HttpResponse response);

    /** The connection ended before the head of the response. */
    void onConnectionLost();
  }

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

  private final ByteCountingTransport transport = new ByteCountingTransport();
  private final AtomicReference<Optional<ResponseListener>> listener =
      new AtomicReference<>(Optional.empty());
  private final Streams streams;
  private volatile Optional<Duration> keepAliveTimeout = Optional.empty();
  private volatile boolean headReceived;
  private volatile boolean closed;
  private volatile long bytesBeforeRequest;
  private volatile Now idleSince = new Now(0, 0);

  /**
   * Opens a connection.
   *
   * @param target the target
   * @param settings the settings of all connections to targets
   * @param system the actor system
   * @param materializer runs the streams
   */
  TargetConnection(
      Target target,
      ClientConnectionSettings settings,
      ActorSystem system,
      Materializer materializer) {
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
   * @param newUser receives what happens
   * @return false when the connection is closed already, so that no byte has left
   */
  boolean send(HttpRequest request, ResponseListener newUser) {
    if (closed || !listener.compareAndSet(Optional.empty(), Optional.of(newUser))) {
      return false;
    }
    if (isEstablished()) {
      return offer(request);
    }
    streams
        .connected()
        .whenComplete(
            (connection, failure) -> {
              if (failure != null || !offer(request)) {
                detachListener().ifPresent(ResponseListener::onConnectFailed);
              }
            });
    return true;
  }

  private boolean offer(HttpRequest request) {
    bytesBeforeRequest = transport.receivedBytes();
    headReceived = false;
    boolean accepted =
        !closed && streams.requests().offer(request).equals(QueueOfferResult.enqueued());
    if (!accepted) {
      close();
    }
    return accepted;
  }

  /**
   * Ends the use by one request, so that the connection may be used again.
   *
   * @param now the present time
   */
  void release(Now now) {
    idleSince = now;
    bytesBeforeRequest = transport.receivedBytes();
    detachListener();
  }

  /**
   * Tells since when the connection has no request.
   *
   * @return the time of the last release
   */
  Now idleSince() {
    return idleSince;
  }

  /**
   * Tells for how long the target keeps the connection without a request.
   *
   * @return what its last response said; nothing when it said nothing
   */
  Optional<Duration> keepAliveTimeout() {
    return keepAliveTimeout;
  }

  /**
   * Tells whether a request could be sent.
   *
   * @return false after the connection ended, and when bytes came that no request asked for
   */
  boolean isUsable() {
    return !closed && transport.receivedBytes() == bytesBeforeRequest;
  }

  /** Closes the connection at once, which cancels the request on it. */
  void close() {
    closed = true;
    detachListener();
    streams.killSwitch().abort(new ClosedException());
  }

  private void onResponse(HttpResponse response) {
    boolean unasked = transport.receivedBytes() == bytesBeforeRequest;
    Optional<ResponseListener> present = listener.get();
    if (present.isEmpty() || unasked) {
      closed = true;
      detachListener().ifPresent(ResponseListener::onConnectionLost);
      streams.killSwitch().abort(new ClosedException());
      return;
    }
    headReceived = true;
    keepAliveTimeout = KeepAliveHeader.timeout(response);
    present.get().onResponseHead(response);
  }

  /** After the head, the end of the body tells how the response ended. */
  private void onStreamEnd() {
    closed = true;
    if (isEstablished() && !headReceived) {
      detachListener().ifPresent(ResponseListener::onConnectionLost);
    }
  }

  /** Tells whether the connection was established, in which case a byte may have left. */
  private boolean isEstablished() {
    CompletableFuture<OutgoingConnection> connected = streams.connected().toCompletableFuture();
    return connected.isDone() && !connected.isCompletedExceptionally();
  }

  private Optional<ResponseListener> detachListener() {
    return listener.getAndSet(Optional.empty());
  }
}
