package org.bergamotcross.entry.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.IncomingConnection;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.bergamotcross.core.admission.Outcome;
import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.entry.AdmissionInput;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.CallerRequest;
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.entry.OpenRequests;
import org.bergamotcross.entry.RoutingInput;
import org.bergamotcross.entry.Topics;
import org.bergamotcross.kernel.EventLog;
import org.bergamotcross.kernel.Now;
import org.bergamotcross.kernel.Offer;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.PluginStartException;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.kernel.TimeSource;

/** The listening side: turns HTTP requests into messages of the admission duty. */
final class FrontEnd implements OpenRequests {
  // Far above the connections of a load balancer; bounds the memory that idle callers hold.
  private static final int MAX_CONNECTIONS = 16_384;
  // Pekko starts to read a body within microseconds; a second covers a pause of the process.
  private static final Duration UNREAD_LIMIT = Duration.ofSeconds(1);

  private final EventLog events;
  private final TimeSource time;
  private final long maxBodyBytes;
  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicReference<Optional<ServerBinding>> binding =
      new AtomicReference<>(Optional.empty());
  private final SharedKillSwitch idle = KillSwitches.shared("caller connections");
  private final PathOptions options;
  private final Responses responses;
  private volatile boolean stopping;
  private volatile boolean refusing;

  FrontEnd(PluginContext context) {
    this.events = context.events();
    this.time = context.time();
    this.options = PathOptions.of(context.settings());
    this.responses = new Responses(options);
    this.maxBodyBytes = context.settings().value(EntrySettings.MAX_BODY_BYTES);
  }

  /**
   * Opens the listening socket.
   *
   * @param address the address
   * @param context gives the rings
   * @param system the actor system
   * @throws PluginStartException if the address can't be opened
   */
  void listen(InetSocketAddress address, PluginContext context, ActorSystem system)
      throws PluginStartException {
    Materializer materializer = SystemMaterializer.get(system).materializer();
    ServerSettings settings = HttpSettings.server(system, maxBodyBytes);
    Intake intake =
        new Intake(
            context.ring(Topics.ADMISSION).orElseThrow(() -> notOpen("admission")),
            context.ring(Topics.ROUTING).orElseThrow(() -> notOpen("routing")),
            system);
    ServerBinding opened =
        Listener.await(
            Http.get(system)
                .newServerAt(address.getAddress().getHostAddress(), address.getPort())
                .withSettings(settings)
                .connectionSource()
                .toMat(Sink.foreach(intake::accept), Keep.left())
                .run(materializer),
            address,
            "[listen] callers");
    binding.set(Optional.of(opened));
    context.closer().register("caller listener", this::stop);
  }

  /**
   * Returns the address on which callers are heard.
   *
   * @return the address with the real port, or nothing before the socket is open
   */
  Optional<InetSocketAddress> address() {
    return binding.get().map(ServerBinding::localAddress);
  }

  /**
   * Asks callers to leave; still serves them when that is wanted.
   *
   * @param announced the start of the stop, or the end of the time in which requests are served
   */
  void stop(Broadcasts.Stopping announced) {
    stopping = true;
    if (announced.acceptUntil().isEmpty()) {
      refuse();
    }
  }

  private void refuse() {
    stopping = true;
    refusing = true;
  }

  /**
   * Refuses all new requests and closes the listener.
   *
   * <p>Until then connections are still accepted, because closing the listener resets those that
   * wait to be accepted, and their callers could not tell what became of their requests.
   */
  void stop() {
    refuse();
    binding.get().ifPresent(ServerBinding::unbind);
  }

  @Override
  public int requests() {
    return requests.get();
  }

  @Override
  public int connections() {
    return connections.get();
  }

  @Override
  public void closeIdle() {
    idle.shutdown();
  }

  private static IllegalStateException notOpen(String topic) {
    return new IllegalStateException("no plug-in opened the " + topic + " topic");
  }

  /** Takes connections and requests in; runs on threads of Pekko. */
  private final class Intake {
    private final Ring<AdmissionInput> admission;
    private final Ring<RoutingInput> routing;
    private final ActorSystem system;
    private final Materializer materializer;

    Intake(Ring<AdmissionInput> admission, Ring<RoutingInput> routing, ActorSystem system) {
      this.admission = admission;
      this.routing = routing;
      this.system = system;
      this.materializer = SystemMaterializer.get(system).materializer();
    }

    void accept(IncomingConnection incoming) {
      if (connections.incrementAndGet() > MAX_CONNECTIONS) {
        connections.decrementAndGet();
        incoming.handleWith(Flow.fromSinkAndSource(Sink.cancelled(), Source.empty()), materializer);
        return;
      }
      CallerConnection connection =
          new CallerConnection(
              this::arrive,
              this::gone,
              connections::decrementAndGet,
              check -> system.scheduler().scheduleOnce(UNREAD_LIMIT, check, system.dispatcher()));
      incoming.handleWith(connection.flow(idle), materializer);
    }

    private CallerExchange arrive(HttpRequest request) {
      Now now = time.now();
      CallerHead head = CallerHead.read(request, options.names());
      CallerExchange exchange =
          new CallerExchange(request, head.id(), responses, events, () -> stopping, requests);
      refusal(request, head)
          .ifPresentOrElse(exchange::refuse, () -> offer(request, head, exchange, now));
      return exchange;
    }

    private Optional<Refusal> refusal(HttpRequest request, CallerHead head) {
      if (refusing) {
        return Optional.of(new Refusal.Stopping());
      }
      if (request.entity().getContentLengthOption().orElse(0) > maxBodyBytes) {
        return Optional.of(new Refusal.BodyTooLarge(maxBodyBytes, Outcome.NOT_RUN));
      }
      return head.problem();
    }

    private void offer(HttpRequest request, CallerHead head, CallerExchange exchange, Now now) {
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
      if (admission.offer(new AdmissionInput.Arrived(caller)) instanceof Offer.Full full) {
        exchange.refuse(new Refusal.Overloaded(full.ring()));
      }
    }

    /** Work for a caller that left is only wasted, so these messages may be lost. */
    private void gone(CallerExchange exchange) {
      events.event("caller.gone").with("request", exchange.id()).emit();
      admission.offer(new AdmissionInput.CallerGone(exchange));
      routing.offer(new RoutingInput.CallerGone(exchange));
    }
  }
}
