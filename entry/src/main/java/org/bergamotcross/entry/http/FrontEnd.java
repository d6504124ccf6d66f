package org.bergamotcross.entry.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.TLSProtocol.SslTlsInbound;
import org.apache.pekko.stream.TLSProtocol.SslTlsOutbound;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.TLSPlacebo;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;
import org.bergamotcross.core.admission.ExecutionOutcome;
import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.entry.AdmissionMessage;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.CallerRequest;
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.entry.OpenRequests;
import org.bergamotcross.entry.RoutingMessage;
import org.bergamotcross.entry.Topics;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.EventLog;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.PluginStartException;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.kernel.RingOfferResult;
import org.bergamotcross.kernel.TimeSource;
import scala.concurrent.duration.FiniteDuration;

/** Serves callers over HTTP: turns their requests into messages for the admission duty. */
final class FrontEnd implements OpenRequests {
  /** Pekko's layer for connections without TLS; its sessions are of a subtype of the layer's. */
  @SuppressWarnings("unchecked")
  private static final BidiFlow<SslTlsOutbound, ByteString, ByteString, SslTlsInbound, NotUsed>
      PLAIN_TEXT =
          (BidiFlow<SslTlsOutbound, ByteString, ByteString, SslTlsInbound, NotUsed>)
              (BidiFlow<?, ?, ?, ?, ?>) TLSPlacebo.getInstance();

  private static final Duration STALL_CHECK_INTERVAL = Duration.ofSeconds(1);
  // Pekko starts to read a response body within microseconds; 1 s covers a pause of the process.
  private static final Duration UNREAD_BODY_TIMEOUT = Duration.ofSeconds(1);

  private final EventLog events;
  private final TimeSource time;
  private final long maxBodyBytes;
  private final AtomicInteger openRequests = new AtomicInteger();
  private final AtomicInteger openConnections = new AtomicInteger();
  private final AtomicReference<Optional<Tcp.ServerBinding>> binding =
      new AtomicReference<>(Optional.empty());
  private final SharedKillSwitch idleConnections = KillSwitches.shared("caller connections");
  private final HttpOptions options;
  private final CallerResponseEncoder responses;
  private final CallerLimits limits;
  private final CallerMemory memory;
  private volatile boolean stopping;
  private volatile boolean refusingRequests;

  FrontEnd(PluginContext context) {
    this.events = context.events();
    this.time = context.time();
    this.options = HttpOptions.of(context.settings());
    this.responses = new CallerResponseEncoder(options);
    this.limits = CallerLimits.of(context.settings());
    this.memory =
        new CallerMemory(
            limits.heldBytes(),
            limits.connections(),
            limits.stallTimeout(),
            events,
            context.metrics());
    this.maxBodyBytes = context.settings().value(EntrySettings.MAX_BODY_BYTES);
  }

  /**
   * Opens the listening socket.
   *
   * @param address the address to bind
   * @param context gives access to the rings of admission and routing
   * @param system the actor system that runs the connections
   * @throws PluginStartException if the address can't be bound
   */
  void listen(InetSocketAddress address, PluginContext context, ActorSystem system)
      throws PluginStartException {
    Materializer materializer = SystemMaterializer.get(system).materializer();
    ServerSettings settings = PekkoHttpSettings.server(system, maxBodyBytes);
    ConnectionHandler handler =
        new ConnectionHandler(
            context.ring(Topics.ADMISSION).orElseThrow(() -> missingTopic("admission")),
            context.ring(Topics.ROUTING).orElseThrow(() -> missingTopic("routing")),
            system,
            settings);
    Tcp.ServerBinding opened =
        ListeningSockets.awaitBinding(
            Tcp.get(system)
                .bind(
                    address.getAddress().getHostAddress(),
                    address.getPort(),
                    settings.getBacklog(),
                    settings.getSocketOptions(),
                    false,
                    finite(settings.getTimeouts().idleTimeout()))
                .toMat(Sink.foreach(handler::accept), Keep.left())
                .run(materializer),
            address,
            "[listen] callers");
    binding.set(Optional.of(opened));
    Cancellable stallCheck =
        system
            .scheduler()
            .scheduleWithFixedDelay(
                STALL_CHECK_INTERVAL,
                STALL_CHECK_INTERVAL,
                () -> memory.closeStalled(time.now()),
                system.dispatcher());
    context.closer().register("stalled callers", stallCheck::cancel);
    context.closer().register("caller listener", this::stop);
  }

  /**
   * Returns the bound address.
   *
   * @return the address with the actual port, or empty before the socket is open
   */
  Optional<InetSocketAddress> address() {
    return binding.get().map(Tcp.ServerBinding::localAddress);
  }

  /**
   * Starts a graceful shutdown: responses get {@code Connection: close}, and new requests are
   * refused unless the broadcast still allows them for a time.
   *
   * @param broadcast sent when the shutdown starts, and again when the accept period has ended
   */
  void onStopping(Broadcasts.Shutdown broadcast) {
    stopping = true;
    if (broadcast.acceptUntil().isEmpty()) {
      refuseNewRequests();
    }
  }

  private void refuseNewRequests() {
    stopping = true;
    refusingRequests = true;
  }

  /**
   * Refuses all new requests and closes the listener.
   *
   * <p>Connections are accepted until then. Closing the listener resets connections in the accept
   * backlog, and their callers could not tell whether their requests had run.
   */
  void stop() {
    refuseNewRequests();
    binding.get().ifPresent(Tcp.ServerBinding::unbind);
  }

  @Override
  public int requestCount() {
    return openRequests.get();
  }

  @Override
  public int connectionCount() {
    return openConnections.get();
  }

  @Override
  public void closeIdleConnections() {
    idleConnections.shutdown();
  }

  private static Optional<Duration> finite(scala.concurrent.duration.Duration duration) {
    return duration instanceof FiniteDuration finite
        ? Optional.of(Duration.ofNanos(finite.toNanos()))
        : Optional.empty();
  }

  private static IllegalStateException missingTopic(String topic) {
    return new IllegalStateException("no plug-in opened the " + topic + " topic");
  }

  /** Accepts connections and passes valid requests to admission; runs on Pekko threads. */
  private final class ConnectionHandler {
    private final Ring<AdmissionMessage> admission;
    private final Ring<RoutingMessage> routing;
    private final ActorSystem system;
    private final Materializer materializer;
    private final Duration lingerTimeout;
    // Shared by all connections, because its description takes 10 KB.
    private final BidiFlow<ByteString, HttpRequest, HttpResponse, ByteString, NotUsed> httpLayer;

    ConnectionHandler(
        Ring<AdmissionMessage> admission,
        Ring<RoutingMessage> routing,
        ActorSystem system,
        ServerSettings settings) {
      this.admission = admission;
      this.routing = routing;
      this.system = system;
      this.materializer = SystemMaterializer.get(system).materializer();
      this.lingerTimeout = finite(settings.getTimeouts().lingerTimeout()).orElse(Duration.ZERO);
      this.httpLayer = Http.get(system).serverLayer(settings).atop(PLAIN_TEXT).reversed();
    }

    void accept(Tcp.IncomingConnection incoming) {
      openConnections.incrementAndGet();
      CallerConnection connection =
          new CallerConnection(
              this::receive,
              time,
              this::reportCallerGone,
              openConnections::decrementAndGet,
              check ->
                  system.scheduler().scheduleOnce(UNREAD_BODY_TIMEOUT, check, system.dispatcher()));
      incoming.handleWith(
          BidiFlow.fromGraph(socketStage(connection))
              .reversed()
              .atop(httpLayer)
              .join(connection.flow(idleConnections)),
          materializer);
    }

    private CallerSocketStage socketStage(CallerConnection connection) {
      return new CallerSocketStage(
          memory, connection::hasOpenRequest, limits.headBytes(), lingerTimeout, time);
    }

    private CallerExchange receive(HttpRequest request, ClockReading now) {
      CallerRequestHead head = CallerRequestHead.read(request, options.names());
      CallerExchange exchange =
          new CallerExchange(request, head.id(), responses, events, () -> stopping, openRequests);
      validate(request, head)
          .ifPresentOrElse(exchange::refuse, () -> offerToAdmission(request, head, exchange, now));
      return exchange;
    }

    private Optional<Refusal> validate(HttpRequest request, CallerRequestHead head) {
      if (refusingRequests) {
        return Optional.of(new Refusal.Stopping());
      }
      if (request.entity().getContentLengthOption().orElse(0) > maxBodyBytes) {
        return Optional.of(new Refusal.BodyTooLarge(maxBodyBytes, ExecutionOutcome.NOT_RUN));
      }
      return head.problem();
    }

    private void offerToAdmission(
        HttpRequest request, CallerRequestHead head, CallerExchange exchange, ClockReading now) {
      CallerRequest caller =
          new CallerRequest(
              head.id(),
              request.method().value(),
              head.host(),
              request.getUri().path(),
              head.keys(),
              head.idempotencyKey(),
              head.timeout(),
              now,
              exchange);
      if (admission.offer(new AdmissionMessage.RequestReceived(caller))
          instanceof RingOfferResult.Full full) {
        exchange.refuse(new Refusal.Overloaded(full.ring()));
      }
    }

    /**
     * Tells admission and routing that the caller disconnected. The messages may be lost when a
     * ring is full; that only wastes work.
     */
    private void reportCallerGone(CallerExchange exchange) {
      events.event("caller.gone").with("request", exchange.id()).emit();
      admission.offer(new AdmissionMessage.CallerDisconnected(exchange));
      routing.offer(new RoutingMessage.CallerDisconnected(exchange));
    }
  }
}
