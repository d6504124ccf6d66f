package org.bergamotcross.standin;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.stream.KillSwitch;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.OverflowStrategy;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.TLSProtocol.SessionBytes;
import org.apache.pekko.stream.TLSProtocol.SslTlsInbound;
import org.apache.pekko.stream.TLSProtocol.SslTlsOutbound;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.TLSPlacebo;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;

/** HTTP/1.1 listener that can stop and later resume listening at the same address. */
final class HttpListener {
  private static final int PIPELINING_LIMIT = 4;
  private static final int ACCEPT_BACKLOG = 1024;
  private static final int READ_AHEAD_CHUNKS = 2;

  /** Handles the requests of all connections. */
  interface Handler {

    /** Handles a request; an empty result closes the connection without a response. */
    CompletionStage<Optional<HttpResponse>> handle(long connection, HttpRequest request);

    /** Called once after a connection has ended for any reason. */
    void onConnectionClosed(long connection);
  }

  private final StandinRuntime runtime;
  private final Handler handler;
  private final int maxConnections;
  private final AtomicLong lastConnectionId = new AtomicLong();
  private final Map<Long, KillSwitch> connections = new ConcurrentHashMap<>();
  private volatile InetSocketAddress address;
  private volatile Optional<Tcp.ServerBinding> binding = Optional.empty();

  HttpListener(
      StandinRuntime runtime, InetSocketAddress address, int maxConnections, Handler handler) {
    this.runtime = runtime;
    this.address = address;
    this.maxConnections = maxConnections;
    this.handler = handler;
  }

  /** Binds the address; port 0 selects a free port, which later calls bind again. */
  CompletableFuture<Void> listen() {
    return Tcp.get(runtime.system())
        .bind(
            address.getAddress().getHostAddress(),
            address.getPort(),
            ACCEPT_BACKLOG,
            List.of(),
            false,
            Optional.empty())
        .to(Sink.foreach(this::accept))
        .run(runtime.system())
        .thenAccept(
            bound -> {
              binding = Optional.of(bound);
              address = bound.localAddress();
            })
        .toCompletableFuture();
  }

  /** Stops accepting connections and closes all open ones. */
  CompletableFuture<Void> shutDown() {
    Optional<Tcp.ServerBinding> bound = binding;
    binding = Optional.empty();
    return bound
        .map(b -> b.unbind().<Void>thenApply(done -> null).toCompletableFuture())
        .orElseGet(() -> CompletableFuture.completedFuture(null))
        .whenComplete((done, failure) -> connections.values().forEach(KillSwitch::shutdown));
  }

  InetSocketAddress address() {
    return address;
  }

  int openConnections() {
    return connections.size();
  }

  private void accept(Tcp.IncomingConnection connection) {
    long id = lastConnectionId.incrementAndGet();
    if (connections.size() >= maxConnections) {
      connection.handleWith(
          Flow.fromSinkAndSource(Sink.cancelled(), Source.empty()), runtime.system());
      return;
    }
    SharedKillSwitch close = KillSwitches.shared("connection-" + id);
    connections.put(id, close);
    Http.get(runtime.system())
        .serverLayer(ServerSettings.create(runtime.system()))
        .atop(plaintext())
        .atop(monitorTermination(id, close))
        .join(connection.flow())
        .join(exchange(id, close))
        .run(runtime.system());
  }

  private static BidiFlow<SslTlsOutbound, ByteString, ByteString, SslTlsInbound, NotUsed>
      plaintext() {
    return BidiFlow.fromFlows(
            Flow.of(SslTlsOutbound.class),
            Flow.of(SessionBytes.class).map(bytes -> (SslTlsInbound) bytes))
        .atop(TLSPlacebo.getInstance());
  }

  /**
   * Forwards bytes and detects the end of the connection.
   *
   * <p>The HTTP layer doesn't report a client that disconnects while its request is being handled.
   * The buffer keeps a read pending; without one the disconnect would go undetected.
   */
  private BidiFlow<ByteString, ByteString, ByteString, ByteString, NotUsed> monitorTermination(
      long id, SharedKillSwitch close) {
    Flow<ByteString, ByteString, NotUsed> in =
        Flow.of(ByteString.class)
            .watchTermination(
                (notUsed, done) -> {
                  done.whenComplete((result, failure) -> onTermination(id));
                  return notUsed;
                })
            .buffer(READ_AHEAD_CHUNKS, OverflowStrategy.backpressure())
            .via(close.flow());
    return BidiFlow.fromFlows(Flow.of(ByteString.class).via(close.flow()), in);
  }

  private void onTermination(long id) {
    KillSwitch close = connections.remove(id);
    if (close != null) {
      close.shutdown();
      handler.onConnectionClosed(id);
    }
  }

  private Flow<HttpRequest, HttpResponse, NotUsed> exchange(long id, KillSwitch close) {
    return Flow.of(HttpRequest.class)
        .mapAsync(PIPELINING_LIMIT, request -> handler.handle(id, request))
        .map(
            response -> {
              if (response.isEmpty()) {
                close.shutdown();
              }
              return response;
            })
        .filter(Optional::isPresent)
        .map(Optional::get);
  }
}
