package org.bergamotcross.entry.duties;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.routing.HealthView;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.entry.RoutingMessage;
import org.bergamotcross.entry.TargetSender;
import org.bergamotcross.entry.Topics;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.kernel.Setting;

/**
 * Runs the routing duty, which queues, dispatches and retries each admitted request until its
 * deadline.
 */
public final class RoutingPlugin implements Plugin {
  private final AtomicReference<Configuration> configuration =
      new AtomicReference<>(Configuration.EMPTY);
  private final AtomicReference<HealthView> health =
      new AtomicReference<>(new HealthView(Map.of()));
  private final AtomicReference<Optional<ClockReading>> freshUntil =
      new AtomicReference<>(Optional.empty());
  private final AtomicReference<Optional<ClockReading>> stopLimit =
      new AtomicReference<>(Optional.empty());

  @Override
  public String name() {
    return "routing";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(
        EntrySettings.FAILURE_DOMAIN,
        EntrySettings.RING_CAPACITY,
        EntrySettings.QUEUE_CAPACITY,
        EntrySettings.SCHEDULING_POLICY,
        EntrySettings.SCHEDULING_CONDITIONS,
        EntrySettings.SCHEDULING_FAIR_UNDER,
        EntrySettings.RETRY_SHARE,
        EntrySettings.RETRY_FLEET_RESERVE);
  }

  @Override
  public void configure(PluginContext context) {
    Ring<RoutingMessage> ring =
        context.openRing(Topics.ROUTING, context.settings().value(EntrySettings.RING_CAPACITY));
    // A report that does not fit into the ring is superseded by the next one.
    context.subscribe(
        Broadcasts.PEER_IN_FLIGHT,
        report -> ring.offer(new RoutingEvent.PeerInFlightReceived(report)));
    context.subscribe(
        Broadcasts.FLEET, view -> ring.offerReserved(new RoutingEvent.FleetChanged(view)));
    context.subscribe(
        Broadcasts.PEER_RESTARTED,
        peer -> ring.offerReserved(new RoutingEvent.PeerRestarted(peer)));
    context.subscribe(Broadcasts.CONFIGURATION, configuration::set);
    context.subscribe(Broadcasts.HEALTH, health::set);
    context.subscribe(
        Broadcasts.FRESHNESS, freshness -> freshUntil.set(Optional.of(freshness.validUntil())));
    context.subscribe(
        Broadcasts.SHUTDOWN, shutdown -> stopLimit.set(Optional.of(shutdown.limit())));
  }

  @Override
  public void start(PluginContext context) {
    TargetSender sender =
        context
            .service(TargetSender.class)
            .orElseThrow(() -> new IllegalStateException("no plug-in provides a target sender"));
    PublishedState publishedState =
        new PublishedState(configuration::get, health::get, freshUntil::get, stopLimit::get);
    Ring<RoutingMessage> ring =
        context
            .ring(Topics.ROUTING)
            .orElseThrow(() -> new IllegalStateException("the routing topic is not open"));
    Optional<PeerExchange> exchange = context.service(PeerExchange.class);
    exchange.ifPresent(
        peers -> {
          peers.handle(
              OutcomeMessage.KIND,
              OutcomeMessage.class,
              (from, message) -> ring.offer(new RoutingEvent.PeerOutcomesReceived(message)));
          peers.mergeBy(OutcomeMessage.KIND, OutcomeMessage.class, OutcomeMessage::merge);
        });
    context.startDuty(
        Topics.ROUTING,
        new RoutingDuty(context, ring, sender, publishedState, outcomeSender(exchange)));
  }

  private static OutcomeSender outcomeSender(Optional<PeerExchange> exchange) {
    return new OutcomeSender() {
      @Override
      public void sendAll(OutcomeMessage message) {
        exchange.ifPresent(peers -> peers.sendAll(OutcomeMessage.KIND, message));
      }

      @Override
      public void send(InstanceId peer, OutcomeMessage message) {
        exchange.ifPresent(peers -> peers.send(peer, OutcomeMessage.KIND, message));
      }
    };
  }
}
