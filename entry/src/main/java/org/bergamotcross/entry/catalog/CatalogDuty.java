package org.bergamotcross.entry.catalog;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.bergamotcross.core.config.TargetChange;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.core.membership.ReadSchedule;
import org.bergamotcross.entry.CatalogSource;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.PluginContext;

/**
 * Follows the published settings and the list of targets, and disseminates both to the peers.
 *
 * <p>One instance at a time long-polls for new settings, and one reads the list of targets. Each
 * broadcasts the results to its peers, also those without a change: an instance that receives no
 * results of a kind reads by itself. An instance that detects a gap requests the missing state from
 * the peer that has it. This keeps instances up to date even while the store rejects their own
 * reads.
 *
 * <p>The followers keep the state of each kind; this class passes on what the store and the peers
 * send, and keeps which peer to request missing state from.
 */
final class CatalogDuty implements DutyHandler<CatalogInput> {
  /** The team name of the published settings in the configuration. */
  static final String PUBLISHED_TEAM = "published";

  /** Delays sync requests, since this instance's own read may be about to return the same data. */
  private static final Duration SYNC_REQUEST_DELAY = Duration.ofMillis(150);

  /** Makes the first reads of an instance due at once or, for the last ranks, within 0.2 s. */
  private static final Duration STALE_AT_START = Duration.ofMillis(1_200);

  private static final Duration MAX_TICK_INTERVAL = Duration.ofSeconds(1);

  private final PeerExchange exchange;
  private final ReadSchedule readSchedule;
  private final StoreMonitor store;
  private final SettingsFollower settings;
  private final TargetsFollower targets;
  private final InstancesFollower instances;
  private final CatalogPublisher publisher;
  private PeerView peers = PeerView.NONE;
  private Optional<ClockReading> syncRequestAt = Optional.empty();
  private Optional<InstanceId> syncPeer = Optional.empty();

  CatalogDuty(
      Member self,
      CatalogSource source,
      PeerExchange exchange,
      PluginContext context,
      Consumer<CatalogInput> completions,
      Consumer<CatalogStatus> statusListener) {
    ClockReading now = context.time().now();
    ClockReading staleSince = now.plus(STALE_AT_START.negated());
    this.exchange = exchange;
    this.readSchedule = new ReadSchedule(self.id());
    this.store = new StoreMonitor(exchange, context.events());
    this.settings =
        new SettingsFollower(
            source, readSchedule, store, context.events(), completions, staleSince, now);
    this.targets =
        new TargetsFollower(
            source, readSchedule, store, context.events(), completions, staleSince, now);
    this.instances = new InstancesFollower(self, source, store, context, completions, now);
    this.publisher = new CatalogPublisher(context, statusListener);
  }

  @Override
  public void onMessage(CatalogInput input, ClockReading now) {
    switch (input) {
      case CatalogInput.SettingsReadCompleted read -> onSettingsRead(read.result(), now);
      case CatalogInput.TargetsReadCompleted read -> onTargetsRead(read.result(), now);
      case CatalogInput.DirectoryReadCompleted read -> onDirectoryRead(read.result(), now);
      case CatalogInput.RegistrationCompleted completed -> onRegistered(completed.result(), now);
      case CatalogInput.RemovalCompleted removed ->
          instances.onRemovalCompleted(removed.instance(), removed.result(), now);
      case CatalogInput.FleetChanged changed -> instances.onFleetChanged(changed.view(), now);
      case CatalogInput.PeersChanged changed -> onPeersChanged(changed.view(), now);
      case CatalogInput.UpdateReceived update -> onUpdate(update.from(), update.message(), now);
      case CatalogInput.SettingsReadReceived read ->
          onPeerReadSettings(read.from(), read.via(), read.message(), now);
      case CatalogInput.StoreUnavailableReceived ignored -> store.recordPeerFailure(now);
      case CatalogInput.SyncRequestReceived request ->
          onSyncRequest(request.from(), request.message(), now);
      case CatalogInput.SyncResponseReceived response -> onSyncResponse(response.message(), now);
    }
  }

  @Override
  public Duration onTick(ClockReading now) {
    instances.callIfDue(now);
    settings.readIfDue(peers, now);
    targets.readIfDue(peers, now);
    if (syncRequestAt.filter(at -> !now.isBefore(at)).isPresent()) {
      syncRequestAt = Optional.empty();
      syncPeer.ifPresent(
          peer ->
              exchange.send(
                  peer,
                  CatalogMessages.SYNC_REQUEST,
                  new CatalogMessages.SyncRequest(
                      settings.endOffset(),
                      targets.end().offset(),
                      settings.version(),
                      targets.end().era())));
    }
    publishIfChanged(false, "time", now);
    return Stream.of(
            instances.nextCallAt(),
            syncRequestAt,
            targets.nextExpiry(now),
            settings.nextReadAt(peers),
            targets.nextReadAt(peers))
        .flatMap(Optional::stream)
        .min(Comparator.naturalOrder())
        .map(due -> due.since(now))
        .map(wait -> wait.isNegative() ? Duration.ofMillis(1) : wait)
        .filter(wait -> wait.compareTo(MAX_TICK_INTERVAL) < 0)
        .orElse(MAX_TICK_INTERVAL);
  }

  private void publishIfChanged(boolean settingsChanged, String from, ClockReading now) {
    publisher.publishIfChanged(
        settings.settings(),
        settingsChanged,
        targets.usableTargets(now),
        targets.isKnown() ? Optional.of(targets.end()) : Optional.empty(),
        from,
        now);
  }

  // ---- results of this instance's calls

  private void onSettingsRead(CatalogSource.SettingsReadResult result, ClockReading now) {
    if (result instanceof CatalogSource.SettingsReadResult.Read read) {
      recordEra(read.end().era(), "settings", now);
    }
    boolean adopted = settings.onRead(result, now);
    publishIfChanged(adopted, "store", now);
    if (result instanceof CatalogSource.SettingsReadResult.Read) {
      exchange.sendAll(
          CatalogMessages.SETTINGS_READ,
          new CatalogMessages.SettingsRead(settings.endOffset(), settings.version(), store.era()));
    }
  }

  private void onTargetsRead(CatalogSource.TargetsReadResult result, ClockReading now) {
    switch (result) {
      case CatalogSource.TargetsReadResult.Changes read ->
          recordEra(read.end().era(), "targets", now);
      case CatalogSource.TargetsReadResult.CompleteList list ->
          recordEra(list.end().era(), "targets", now);
      case CatalogSource.TargetsReadResult.Unavailable ignored -> {}
    }
    targets.onRead(result, now).ifPresent(this::broadcastUpdate);
    publishIfChanged(false, "store", now);
  }

  private void onDirectoryRead(CatalogSource.DirectoryReadResult result, ClockReading now) {
    if (result instanceof CatalogSource.DirectoryReadResult.Read read) {
      recordEra(read.era(), "instances", now);
    }
    instances.onRead(result, now);
  }

  private void onRegistered(CatalogSource.DirectoryUpdateResult result, ClockReading now) {
    if (result instanceof CatalogSource.DirectoryUpdateResult.Acknowledged acknowledged) {
      recordEra(acknowledged.era(), "instances", now);
    }
    instances.onRegistered(result, now);
  }

  private void recordEra(long era, String from, ClockReading now) {
    if (store.recordEra(era, from)) {
      instances.onRestored(now);
    }
  }

  // ---- peers

  private void broadcastUpdate(TargetsFollower.ReadRecords read) {
    exchange.sendAll(
        CatalogMessages.UPDATE,
        new CatalogMessages.Update(
            settings.endOffset(),
            read.from().offset(),
            read.to().offset(),
            toWire(read.changes()),
            read.complete(),
            settings.version(),
            read.to().era()));
  }

  private static List<CatalogMessages.TargetRecord> toWire(List<TargetChange> changes) {
    return changes.stream().map(CatalogMessages.TargetRecord::of).toList();
  }

  /** Records the era that a peer reports; builds that don't know eras report 0. */
  private void recordPeerEra(long era, InstanceId from, ClockReading now) {
    if (era > 0) {
      recordEra(era, from.value(), now);
    }
  }

  private void onUpdate(InstanceId from, CatalogMessages.Update update, ClockReading now) {
    recordPeerEra(update.era(), from, now);
    boolean isMissingTargets = targets.onUpdate(from.value(), update, now);
    if (isMissingTargets || settings.isBehind(update.settingsVersion(), update.settingsEnd())) {
      requestSync(from, now);
    }
    publishIfChanged(false, from.value(), now);
  }

  private void onPeerReadSettings(
      InstanceId from, InstanceId via, CatalogMessages.SettingsRead message, ClockReading now) {
    recordPeerEra(message.era(), from, now);
    if (readSchedule.isPreceding(peers, from)) {
      settings.recordPrecedingRead(now);
    }
    if (settings.isBehind(message.settingsVersion(), message.settingsEnd())) {
      requestSync(via, now);
    }
  }

  private void requestSync(InstanceId peer, ClockReading now) {
    if (syncRequestAt.isEmpty()) {
      syncRequestAt = Optional.of(now.plus(SYNC_REQUEST_DELAY));
      syncPeer = Optional.of(peer);
    }
  }

  private void onSyncRequest(
      InstanceId from, CatalogMessages.SyncRequest request, ClockReading now) {
    Optional<CatalogSource.SettingsDocument> document = settings.documentFor(request);
    boolean isMissingTargets = targets.isMissing(request);
    if (document.isEmpty() && !isMissingTargets) {
      return;
    }
    exchange.send(
        from,
        CatalogMessages.SYNC_RESPONSE,
        new CatalogMessages.SyncResponse(
            document.map(d -> d.position().offset()).orElse(-1L),
            document.map(CatalogSource.SettingsDocument::content).orElse(new byte[0]),
            isMissingTargets ? targets.end().offset() : -1,
            isMissingTargets ? toWire(targets.toRecords(now)) : List.of(),
            document.map(d -> d.position().era()).orElse(0L),
            targets.end().era()));
  }

  private void onSyncResponse(CatalogMessages.SyncResponse response, ClockReading now) {
    boolean adopted = response.document().filter(d -> settings.adopt(d, "peer")).isPresent();
    targets.onSyncResponse(response, now);
    publishIfChanged(adopted, "peer", now);
  }

  /**
   * Stores the reachable peers and, while this instance has no settings or targets yet, requests
   * them from a newly reachable peer.
   */
  private void onPeersChanged(PeerView view, ClockReading now) {
    Set<InstanceId> before = peers.reachable();
    peers = view;
    if (settings.settings().isEmpty() || !targets.isKnown()) {
      view.reachable().stream()
          .filter(peer -> !before.contains(peer))
          .findFirst()
          .ifPresent(
              peer -> {
                syncRequestAt = Optional.of(now);
                syncPeer = Optional.of(peer);
              });
    }
  }
}
