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
  interface User {
    /** The connection could not be opened; no byte has left. */
    void connectFailed();

    /**
     * The head of the response arrived.
     *
     * @param response the response; its body may still be on the way
     */
    void responded(HttpResponse response);

    /** The connection ended before the head of the response. */
    void lost();
  }

  private record Wires(
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

  private final CountingTransport transport = new CountingTransport();
  private final AtomicReference<Optional<User>> user = new AtomicReference<>(Optional.empty());
  private final Wires wires;
  private volatile Optional<Duration> keptFor = Optional.empty();
  private volatile boolean answered;
  private volatile boolean closed;
  private volatile long receivedBefore;
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
    Sink<HttpResponse, CompletionStage<Done>> responses = Sink.foreach(this::responded);
    this.wires =
        Source.<HttpRequest>queue(1)
            .viaMat(closable, Keep.both())
            .toMat(
                responses,
                (in, ended) ->
                    new Wires(in.first(), in.second().second(), in.second().first(), ended))
            .run(materializer);
    wires.ended().whenComplete((done, failure) -> ended());
  }

  /**
   * Sends a request once the connection is open.
   *
   * @param request the request
   * @param newUser receives what happens
   * @return false when the connection is closed already, so that no byte has left
   */
  boolean send(HttpRequest request, User newUser) {
    if (closed || !user.compareAndSet(Optional.empty(), Optional.of(newUser))) {
      return false;
    }
    if (isOpen()) {
      return offer(request);
    }
    wires
        .connected()
        .whenComplete(
            (connection, failure) -> {
              if (failure != null || !offer(request)) {
                take().ifPresent(User::connectFailed);
              }
            });
    return true;
  }

  private boolean offer(HttpRequest request) {
    receivedBefore = transport.received();
    answered = false;
    boolean accepted =
        !closed && wires.requests().offer(request).equals(QueueOfferResult.enqueued());
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
    receivedBefore = transport.received();
    take();
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
  Optional<Duration> keptFor() {
    return keptFor;
  }

  /**
   * Tells whether a request could be sent.
   *
   * @return false after the connection ended, and when bytes came that no request asked for
   */
  boolean isUsable() {
    return !closed && transport.received() == receivedBefore;
  }

  /** Closes the connection at once, which cancels the request on it. */
  void close() {
    closed = true;
    take();
    wires.killSwitch().abort(new ClosedException());
  }

  private void responded(HttpResponse response) {
    boolean unasked = transport.received() == receivedBefore;
    Optional<User> present = user.get();
    if (present.isEmpty() || unasked) {
      closed = true;
      take().ifPresent(User::lost);
      wires.killSwitch().abort(new ClosedException());
      return;
    }
    answered = true;
    keptFor = KeepAlive.timeout(response);
    present.get().responded(response);
  }

  /** After the head, the end of the body tells how the response ended. */
  private void ended() {
    closed = true;
    if (isOpen() && !answered) {
      take().ifPresent(User::lost);
    }
  }

  /** Tells whether the connection was established, in which case a byte may have left. */
  private boolean isOpen() {
    CompletableFuture<OutgoingConnection> connected = wires.connected().toCompletableFuture();
    return connected.isDone() && !connected.isCompletedExceptionally();
  }

  private Optional<User> take() {
    return user.getAndSet(Optional.empty());
  }
}
