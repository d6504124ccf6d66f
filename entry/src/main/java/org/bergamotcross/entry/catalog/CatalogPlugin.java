package org.bergamotcross.entry.catalog;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.Broadcasts.Freshness;
import org.bergamotcross.entry.CatalogSource;
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.entry.StatusSource;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.kernel.Setting;
import org.bergamotcross.kernel.Topic;

/**
 * Runs the catalog duty, which replaces the duties that follow the fleet's own log and probe
 * targets.
 *
 * <p>The module that provides a {@link CatalogSource} registers this plug-in, not its own module.
 */
public final class CatalogPlugin implements Plugin {
  private static final Topic<CatalogInput> CATALOG = new Topic<>("catalog");

  // Completions of this instance's reads are few; peer updates may arrive in a burst after a pause.
  private static final int RING_CAPACITY = 4_096;

  private final AtomicReference<StatusSource.Status> status = new AtomicReference<>();
  private Ring<CatalogInput> ring;

  /** Creates the plug-in; called by the kernel through the service loader. */
  public CatalogPlugin() {}

  @Override
  public String name() {
    return "catalog";
  }

  @Override
  public Set<String> replaces() {
    return Set.of("config", "health");
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(
        EntrySettings.INSTANCE_ID, EntrySettings.FAILURE_DOMAIN, EntrySettings.PEER_ADDRESS);
  }

  @Override
  public void configure(PluginContext context) {
    ring = context.openRing(CATALOG, RING_CAPACITY);
    updateStatus(context, 0, new CatalogStatus(-1, -1, Optional.empty()));
    context.provide(StatusSource.class, status::get);
    context.subscribe(
        Broadcasts.PEERS, view -> ring.offerReserved(new CatalogInput.PeersChanged(view)));
    context.subscribe(
        Broadcasts.FLEET, view -> ring.offerReserved(new CatalogInput.FleetChanged(view)));
  }

  @Override
  public void start(PluginContext context) {
    PeerExchange exchange = requireService(context, PeerExchange.class);
    CatalogSource source = requireService(context, CatalogSource.class);
    exchange.handle(
        CatalogMessages.UPDATE,
        CatalogMessages.Update.class,
        (from, message) -> ring.offer(new CatalogInput.UpdateReceived(from.via(), message)));
    exchange.handle(
        CatalogMessages.SETTINGS_READ,
        CatalogMessages.SettingsRead.class,
        (from, message) ->
            ring.offer(new CatalogInput.SettingsReadReceived(from.id(), from.via(), message)));
    exchange.handle(
        CatalogMessages.STORE_UNAVAILABLE,
        CatalogMessages.StoreUnavailable.class,
        (from, message) -> ring.offer(new CatalogInput.StoreUnavailableReceived()));
    exchange.handle(
        CatalogMessages.SYNC_REQUEST,
        CatalogMessages.SyncRequest.class,
        (from, message) -> ring.offer(new CatalogInput.SyncRequestReceived(from.id(), message)));
    exchange.handle(
        CatalogMessages.SYNC_RESPONSE,
        CatalogMessages.SyncResponse.class,
        (from, message) -> ring.offer(new CatalogInput.SyncResponseReceived(from.id(), message)));
    context.startDuty(
        CATALOG,
        new CatalogDuty(
            EntrySettings.ownMember(context.settings(), exchange.incarnation()),
            source,
            exchange,
            context,
            ring::offerReserved,
            catalogStatus -> updateStatus(context, exchange.incarnation(), catalogStatus)));
  }

  private void updateStatus(PluginContext context, long incarnation, CatalogStatus catalogStatus) {
    status.set(
        new StatusSource.Status(
            new InstanceId(context.settings().value(EntrySettings.INSTANCE_ID)),
            incarnation,
            catalogStatus.revision(),
            false,
            catalogStatus.version() < 0
                ? Map.of()
                : Map.of(CatalogDuty.PUBLISHED_TEAM, catalogStatus.version()),
            Members.NONE,
            catalogStatus.freshness().orElseGet(() -> expiredFreshness(context)),
            Map.of()));
  }

  private static Freshness expiredFreshness(PluginContext context) {
    return new Freshness(context.time().now(), Freshness.Source.NONE);
  }

  private static <T> T requireService(PluginContext context, Class<T> type) {
    return context
        .service(type)
        .orElseThrow(() -> new IllegalStateException("no plug-in provides " + type.getName()));
  }
}
