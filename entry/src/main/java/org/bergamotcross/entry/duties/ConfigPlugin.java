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
  private static final Topic<ConfigInput> CONFIG = new Topic<>("config");
  // Echoes of all peers twice a second, and messages of peers; the rest are single completions.
  private static final int RING_CAPACITY = 16_384;

  private Ring<ConfigInput> ring;
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
    status.set(initial(context, 0));
    context.provide(StatusSource.class, status::get);
    context.subscribe(Broadcasts.HEARTBEAT_ECHO, echo -> ring.offer(new ConfigInput.Echoed(echo)));
    context.subscribe(Broadcasts.SHUTDOWN, stopping -> ring.offerReserved(new ConfigInput.Stop()));
  }

  @Override
  public void start(PluginContext context) {
    Settings settings = context.settings();
    PeerExchange exchange = required(context, PeerExchange.class);
    status.set(initial(context, exchange.incarnation()));
    PlatformClient client =
        context
            .closer()
            .register(
                "platform-client",
                PekkoPlatformClient.onActorSystem(
                    required(context, ActorSystem.class),
                    settings.value(EntrySettings.PLATFORM_ADDRESS),
                    settings.value(EntrySettings.INSTANCE_ID)));
    receive(exchange, PeerMessage.RECORDS_ASK, PeerMessage.RecordsAsk.class);
    receive(exchange, PeerMessage.RECORDS, PeerMessage.Records.class);
    receive(exchange, PeerMessage.SNAPSHOT_ASK, PeerMessage.SnapshotAsk.class);
    receive(exchange, PeerMessage.SNAPSHOT, PeerMessage.Snapshot.class);
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

  private <T extends Record & PeerMessage> void receive(
      PeerExchange exchange, String kind, Class<T> type) {
    exchange.handle(
        kind, type, (from, message) -> ring.offer(new ConfigInput.FromPeer(from, message)));
  }

  private static Status initial(PluginContext context, long incarnation) {
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

  private static <T> T required(PluginContext context, Class<T> type) {
    return context
        .service(type)
        .orElseThrow(() -> new IllegalStateException("no plug-in provides " + type.getName()));
  }
}
