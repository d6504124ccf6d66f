package org.bergamotcross.entry.duties;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.actor.ActorSystem;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.Broadcasts.Freshness;
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.entry.StatusSource;
import org.bergamotcross.entry.StatusSource.Status;
import org.bergamotcross.entry.platform.PekkoPlatformClient;
import org.bergamotcross.entry.platform.PlatformClient;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.kernel.Setting;
import org.bergamotcross.kernel.SettingRule;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.Topic;

/**
 * Runs the config duty: publishes {@link Broadcasts#CONFIGURATION}, {@link Broadcasts#FRESHNESS}
 * and {@link Broadcasts#LEAVING_TARGETS}, and provides {@link StatusSource}.
 */
public final class ConfigPlugin implements Plugin {
  private static final Topic<ConfigMessage> CONFIG = new Topic<>("config");
  // Holds heartbeat echoes from all peers twice a second and messages from peers; other messages
  // are single completions of reads and appends.
  private static final int RING_CAPACITY = 16_384;

  private Ring<ConfigMessage> ring;
  private final AtomicReference<Status> status = new AtomicReference<>();

  @Override
  public String name() {
    return "config";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(
        EntrySettings.INSTANCE_ID,
        EntrySettings.FAILURE_DOMAIN,
        EntrySettings.PLATFORM_ADDRESS,
        EntrySettings.PEER_ADDRESS);
  }

  @Override
  public List<SettingRule> rules() {
    return EntrySettings.requireDistinctAddresses(
        List.of(EntrySettings.PEER_ADDRESS, EntrySettings.PLATFORM_ADDRESS));
  }

  @Override
  public void configure(PluginContext context) {
    ring = context.openRing(CONFIG, RING_CAPACITY);
    status.set(initialStatus(context, 0));
    context.provide(StatusSource.class, status::get);
    context.subscribe(
        Broadcasts.HEARTBEAT_ECHOES,
        echoed -> ring.offer(new ConfigMessage.HeartbeatsEchoed(echoed)));
    context.subscribe(
        Broadcasts.SHUTDOWN, shutdown -> ring.offerReserved(new ConfigMessage.ShutdownStarted()));
  }

  @Override
  public void start(PluginContext context) {
    Settings settings = context.settings();
    PeerExchange exchange = requireService(context, PeerExchange.class);
    status.set(initialStatus(context, exchange.incarnation()));
    PlatformClient client =
        context
            .closer()
            .register(
                "platform-client",
                PekkoPlatformClient.onActorSystem(
                    requireService(context, ActorSystem.class),
                    settings.value(EntrySettings.PLATFORM_ADDRESS),
                    settings.value(EntrySettings.INSTANCE_ID)));
    forwardToRing(
        exchange, CatchUpMessage.RECORDS_REQUEST_KIND, CatchUpMessage.RecordsRequest.class);
    forwardToRing(
        exchange, CatchUpMessage.RECORDS_RESPONSE_KIND, CatchUpMessage.RecordsResponse.class);
    forwardToRing(
        exchange, CatchUpMessage.SNAPSHOT_REQUEST_KIND, CatchUpMessage.SnapshotRequest.class);
    forwardToRing(
        exchange, CatchUpMessage.SNAPSHOT_RESPONSE_KIND, CatchUpMessage.SnapshotResponse.class);
    context.startDuty(
        CONFIG,
        new ConfigDuty(
            EntrySettings.ownMember(settings, exchange.incarnation()),
            context,
            client,
            exchange,
            ring::offerReserved,
            status::set));
  }

  private <T extends Record & CatchUpMessage> void forwardToRing(
      PeerExchange exchange, String kind, Class<T> type) {
    exchange.handle(
        kind,
        type,
        (from, message) -> ring.offer(new ConfigMessage.CatchUpMessageReceived(from, message)));
  }

  private static Status initialStatus(PluginContext context, long incarnation) {
    return new Status(
        new InstanceId(context.settings().value(EntrySettings.INSTANCE_ID)),
        incarnation,
        -1,
        false,
        Map.of(),
        Members.NONE,
        new Freshness(context.time().now(), Freshness.Source.NONE),
        Map.of());
  }

  private static <T> T requireService(PluginContext context, Class<T> type) {
    return context
        .service(type)
        .orElseThrow(() -> new IllegalStateException("no plug-in provides " + type.getName()));
  }
}
