package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.entry.AdmissionMessage;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.entry.RoutingMessage;
import org.bergamotcross.entry.Topics;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.kernel.RingOfferResult;
import org.bergamotcross.kernel.Setting;
import org.bergamotcross.kernel.SettingRule;

/**
 * Runs the admission duty, which checks the key, route and deadline of each request, rate limits
 * and idempotency claims.
 */
public final class AdmissionPlugin implements Plugin {
  private final OverflowConfiguration overflowConfiguration = new OverflowConfiguration();

  @Override
  public String name() {
    return "admission";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(
        EntrySettings.INSTANCE_ID,
        EntrySettings.RING_CAPACITY,
        EntrySettings.QUEUE_CAPACITY,
        EntrySettings.MAX_TIMEOUT_MS,
        EntrySettings.RATE_SHARING,
        EntrySettings.RATE_WINDOW,
        EntrySettings.RATE_TOLERATED_SHARE,
        EntrySettings.RATE_TOLERATED_REQUESTS,
        EntrySettings.HEARTBEAT_INTERVAL_MS);
  }

  @Override
  public List<SettingRule> rules() {
    return List.of(EntrySettings::checkHeartbeatInterval);
  }

  @Override
  public void configure(PluginContext context) {
    Ring<AdmissionMessage> ring =
        context.openRing(Topics.ADMISSION, context.settings().value(EntrySettings.RING_CAPACITY));
    context.subscribe(
        Broadcasts.CONFIGURATION,
        next -> {
          if (ring.offerReserved(new AdmissionEvent.ConfigurationChanged(next))
              instanceof RingOfferResult.Full) {
            overflowConfiguration.put(next);
          }
        });
    // A message lost on a full ring only makes the freshness expire earlier.
    context.subscribe(
        Broadcasts.FRESHNESS,
        next -> ring.offerReserved(new AdmissionEvent.FreshnessChanged(next)));
    context.subscribe(
        Broadcasts.HEARTBEAT_ECHOES,
        echoed -> ring.offerReserved(new AdmissionEvent.HeartbeatsEchoed(echoed)));
    context.subscribe(
        Broadcasts.PEER_RESTARTED,
        peer -> ring.offerReserved(new AdmissionEvent.PeerRestarted(peer)));
    context.subscribe(
        Broadcasts.FLEET, view -> ring.offerReserved(new AdmissionEvent.FleetChanged(view)));
    context.subscribe(
        Broadcasts.PEERS, view -> ring.offerReserved(new AdmissionEvent.PeersChanged(view)));
    context.subscribe(
        Broadcasts.SHUTDOWN,
        shutdown -> ring.offerReserved(new AdmissionEvent.ShutdownStarted(shutdown.limit())));
  }

  @Override
  public void start(PluginContext context) {
    Ring<AdmissionMessage> ring = context.ring(Topics.ADMISSION).orElseThrow();
    Ring<RoutingMessage> routing =
        context
            .ring(Topics.ROUTING)
            .orElseThrow(() -> new IllegalStateException("no plug-in opened the routing topic"));
    Optional<PeerExchange> exchange = context.service(PeerExchange.class);
    exchange.ifPresent(
        peers ->
            AdmissionMessageKinds.registerHandler(
                peers,
                (from, message) ->
                    ring.offer(new AdmissionEvent.PeerMessageReceived(from, message))));
    BiConsumer<InstanceId, Record> peerSender =
        (to, message) ->
            exchange.ifPresent(
                peers -> peers.send(to, AdmissionMessageKinds.kindOf(message), message));
    AdmissionDuty.Options options =
        new AdmissionDuty.Options(
            new InstanceId(context.settings().value(EntrySettings.INSTANCE_ID)),
            exchange.map(PeerExchange::incarnation).orElse(0L),
            Duration.ofMillis(context.settings().value(EntrySettings.MAX_TIMEOUT_MS)),
            context.settings().value(EntrySettings.QUEUE_CAPACITY),
            context.settings().value(EntrySettings.RATE_SHARING).equals("delegated")
                ? Optional.of(EntrySettings.rateTolerance(context.settings()))
                : Optional.empty());
    context.<AdmissionMessage>startDuty(
        Topics.ADMISSION,
        new AdmissionDuty(
            options, overflowConfiguration, peerSender, routing, new AdmissionReporter(context)));
  }
}
