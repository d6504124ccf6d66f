package org.bergamotcross.entry.catalog;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetChange;
import org.bergamotcross.core.config.TargetDirectory;
import org.bergamotcross.core.config.TargetEntry;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.core.membership.ReadSchedule;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.Broadcasts.Freshness;
import org.bergamotcross.entry.CatalogSource;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.EventLog;
import org.bergamotcross.kernel.PluginContext;

/**
 * Follows the published settings and the list of targets, and disseminates both to the peers.
 *
 * <p>One instance at a time long-polls for new settings, and one reads the list of targets. Each
 * broadcasts the results to its peers, also those without a change: an instance that receives no
 * results of a kind reads by itself. An instance that detects a gap requests the missing state from
 * the peer that has it. This keeps instances up to date even while the store rejects their own
 * reads.
 */
final class CatalogDuty implements DutyHandler<CatalogInput> {
  /** The team name of the published settings in {@link Configuration#teams}. */
  static final String PUBLISHED_TEAM = "published";

  /** Ejection needs no floor here: the routing duty's estimates only rank targets. */
  private static final double NO_EJECTION_FLOOR = 0;

  private static final Duration SETTINGS_RETRY_DELAY = Duration.ofMillis(500);
  private static final Duration DIRECTORY_RETRY_DELAY = Duration.ofSeconds(2);

  /** Longer than the reads of targets are apart while the first reader reaches the store. */
  private static final Duration OUTAGE_THRESHOLD = Duration.ofMillis(1_200);

  /** Targets whose entries expired during a store outage register again about 2 s after it. */
  private static final Duration REMOVAL_GRACE_PERIOD = Duration.ofMillis(2_500);

  /** Delays sync requests, since this instance's own read may be about to return the same data. */
  private static final Duration SYNC_REQUEST_DELAY = Duration.ofMillis(150);

  /** Makes the first reads of an instance due at once or, for the last ranks, within 0.2 s. */
  private static final Duration STALE_AT_START = Duration.ofMillis(1_200);

  private static final Duration UNLIMITED_VALIDITY = Duration.ofDays(365);
  private static final Duration MAX_TICK_INTERVAL = Duration.ofSeconds(1);

  private final Member self;
  private final CatalogSource source;
  private final PeerExchange exchange;
  private final PluginContext context;
  private final EventLog events;
  private final Consumer<CatalogInput> completions;
  private final Consumer<CatalogStatus> statusListener;
  private final ReadSchedule readSchedule;
  private final TargetDirectory directory = new TargetDirectory();
  private PeerView peers = PeerView.NONE;
  private Optional<CatalogSource.SettingsDocument> document = Optional.empty();
  private Optional<CatalogSource.CatalogSettings> settings = Optional.empty();
  private List<TargetEntry> publishedTargets = List.of();
  private long settingsEnd;
  private long targetsEnd;

  /** The offset that the last read of the targets requested; 0 for the first read. */
  private long targetsReadFrom;

  private long revision = -1;

  /** When this instance or a peer last read the list of targets. */
  private ClockReading lastTargetsReadAt;

  private ClockReading lastFailedTargetsReadAt;

  /** When a read of this instance or, by its report, of a peer last failed. */
  private Optional<ClockReading> lastStoreFailureAt = Optional.empty();

  private ClockReading removalGraceUntil;

  /** When an instance ranked before this one last read the settings. */
  private ClockReading lastPrecedingSettingsReadAt;

  /** Delays the next read of the settings after a failed one. */
  private ClockReading settingsRetryAt;

  private Optional<ClockReading> directoryReadAt;
  private Optional<ClockReading> registerAt = Optional.empty();
  private final Set<InstanceId> pendingRemovals = new HashSet<>();
  private Optional<ClockReading> syncRequestAt = Optional.empty();
  private Optional<InstanceId> syncPeer = Optional.empty();
  private Optional<Freshness> freshness = Optional.empty();
  private boolean targetsKnown;
  private boolean readingSettings;
  private boolean readingTargets;
  private boolean sourceUnavailable;
  private boolean awaitsRegistration;

  CatalogDuty(
      Member self,
      CatalogSource source,
      PeerExchange exchange,
      PluginContext context,
      Consumer<CatalogInput> completions,
      Consumer<CatalogStatus> statusListener) {
    this.self = self;
    this.source = source;
    this.exchange = exchange;
    this.context = context;
    this.events = context.events();
    this.completions = completions;
    this.statusListener = statusListener;
    this.readSchedule = new ReadSchedule(self.id());
    ClockReading now = context.time().now();
    this.lastTargetsReadAt = now.plus(STALE_AT_START.negated());
    this.lastFailedTargetsReadAt = lastTargetsReadAt;
    this.removalGraceUntil = now;
    this.lastPrecedingSettingsReadAt = now.plus(STALE_AT_START.negated());
    this.settingsRetryAt = now;
    this.directoryReadAt = Optional.of(now);
  }

  @Override
  public void onMessage(CatalogInput input, ClockReading now) {
    switch (input) {
      case CatalogInput.SettingsReadCompleted read -> onSettingsRead(read.result(), now);
      case CatalogInput.TargetsReadCompleted read -> onTargetsRead(read.result(), now);
      case CatalogInput.DirectoryReadCompleted read -> onDirectoryRead(read.result(), now);
      case CatalogInput.RegistrationCompleted completed -> onRegistered(completed.result(), now);
      case CatalogInput.RemovalCompleted removed ->
          onRemovalCompleted(removed.instance(), removed.result(), now);
      case CatalogInput.FleetChanged changed -> onFleetChanged(changed.view(), now);
      case CatalogInput.PeersChanged changed -> onPeersChanged(changed.view(), now);
      case CatalogInput.UpdateReceived update -> onUpdate(update.from(), update.message(), now);
      case CatalogInput.SettingsReadReceived read ->
          onPeerReadSettings(read.from(), read.via(), read.message(), now);
      case CatalogInput.StoreUnavailableReceived ignored -> onStoreUnavailable(now);
      case CatalogInput.SyncRequestReceived request ->
          onSyncRequest(request.from(), request.message(), now);
      case CatalogInput.SyncResponseReceived response -> onSyncResponse(response.message(), now);
    }
  }

  @Override
  public Duration onTick(ClockReading now) {
    if (isDue(directoryReadAt, now)) {
      directoryReadAt = Optional.empty();
      source
          .readDirectory()
          .thenAccept(r -> completions.accept(new CatalogInput.DirectoryReadCompleted(r)));
    }
    if (isDue(registerAt, now)) {
      registerAt = Optional.empty();
      source
          .register(self)
          .thenAccept(r -> completions.accept(new CatalogInput.RegistrationCompleted(r)));
    }
    if (!readingSettings && !now.isBefore(nextSettingsReadAt())) {
      readingSettings = true;
      source
          .readSettings(settingsEnd, ReadSchedule.LONG_POLL_TIMEOUT)
          .thenAccept(r -> completions.accept(new CatalogInput.SettingsReadCompleted(r)));
    }
    if (!readingTargets && !now.isBefore(nextTargetsReadAt())) {
      readingTargets = true;
      targetsReadFrom = targetsEnd;
      source
          .readTargets(targetsReadFrom)
          .thenAccept(r -> completions.accept(new CatalogInput.TargetsReadCompleted(r)));
    }
    if (isDue(syncRequestAt, now)) {
      syncRequestAt = Optional.empty();
      syncPeer.ifPresent(
          peer ->
              exchange.send(
                  peer,
                  CatalogMessages.SYNC_REQUEST,
                  new CatalogMessages.SyncRequest(knownSettingsEnd(), targetsEnd)));
    }
    publishIfChanged(now, "time");
    return Stream.of(
            directoryReadAt,
            registerAt,
            syncRequestAt,
            directory.nextExpiry(now),
            readingSettings ? Optional.<ClockReading>empty() : Optional.of(nextSettingsReadAt()),
            readingTargets ? Optional.<ClockReading>empty() : Optional.of(nextTargetsReadAt()))
        .flatMap(Optional::stream)
        .min(Comparator.naturalOrder())
        .map(due -> due.since(now))
        .map(wait -> wait.isNegative() ? Duration.ofMillis(1) : wait)
        .filter(wait -> wait.compareTo(MAX_TICK_INTERVAL) < 0)
        .orElse(MAX_TICK_INTERVAL);
  }

  private ClockReading nextTargetsReadAt() {
    return readSchedule.dueAt(
        peers,
        lastTargetsReadAt.isAfter(lastFailedTargetsReadAt)
            ? lastTargetsReadAt
            : lastFailedTargetsReadAt);
  }

  private static boolean isDue(Optional<ClockReading> at, ClockReading now) {
    return at.filter(due -> !now.isBefore(due)).isPresent();
  }

  // ---- settings

  private ClockReading nextSettingsReadAt() {
    ClockReading due = readSchedule.longPollDueAt(peers, lastPrecedingSettingsReadAt);
    return due.isAfter(settingsRetryAt) ? due : settingsRetryAt;
  }

  private void onSettingsRead(CatalogSource.SettingsReadResult result, ClockReading now) {
    readingSettings = false;
    switch (result) {
      case CatalogSource.SettingsReadResult.Read read -> {
        settingsRetryAt = now;
        markSourceAvailable();
        read.document().ifPresent(d -> adopt(d, "store", now));
        settingsEnd = Math.max(settingsEnd, read.end());
        exchange.sendAll(
            CatalogMessages.SETTINGS_READ, new CatalogMessages.SettingsRead(knownSettingsEnd()));
      }
      case CatalogSource.SettingsReadResult.Unavailable unavailable -> {
        settingsRetryAt = now.plus(SETTINGS_RETRY_DELAY);
        markSourceUnavailable("settings", unavailable.reason(), now);
      }
    }
  }

  /** Adopts a document if it is valid and newer than the current one; returns whether it did. */
  private boolean adopt(CatalogSource.SettingsDocument offered, String from, ClockReading now) {
    if (document.filter(d -> d.offset() >= offered.offset()).isPresent()) {
      return false;
    }
    return switch (source.decodeSettings(offered)) {
      case CatalogSource.DecodeResult.Invalid invalid -> {
        events
            .event("settings.unusable")
            .with("offset", offered.offset())
            .with("problem", invalid.problem())
            .emit();
        yield false;
      }
      case CatalogSource.DecodeResult.Valid valid -> adopt(offered, valid.settings(), from, now);
    };
  }

  private boolean adopt(
      CatalogSource.SettingsDocument offered,
      CatalogSource.CatalogSettings next,
      String from,
      ClockReading now) {
    if (settings.filter(s -> s.version() >= next.version()).isPresent()) {
      return false;
    }
    document = Optional.of(offered);
    settingsEnd = Math.max(settingsEnd, offered.offset() + 1);
    settings = Optional.of(next);
    events
        .event("settings.applied")
        .with("version", next.version())
        .with("offset", offered.offset())
        .with("from", from)
        .with("routes", next.routes().size())
        .with("organisations", next.organisations().size())
        .emit();
    publish(now);
    return true;
  }

  // ---- targets

  private void onTargetsRead(CatalogSource.TargetsReadResult result, ClockReading now) {
    readingTargets = false;
    switch (result) {
      case CatalogSource.TargetsReadResult.Changes read -> {
        markSourceAvailable();
        recordTargetsRead(now);
        List<TargetChange> applied = new ArrayList<>();
        for (TargetChange change : read.changes()) {
          TargetChange withGrace = withGracePeriod(change, now);
          if (directory.apply(withGrace, now)) {
            applied.add(withGrace);
          }
        }
        long from = targetsEnd;
        targetsEnd = Math.max(targetsEnd, read.end());
        broadcastUpdate(from, targetsEnd, applied, false);
        publishIfChanged(now, "store");
      }
      case CatalogSource.TargetsReadResult.CompleteList list -> {
        markSourceAvailable();
        recordTargetsRead(now);
        applyCompleteList(list.records(), list.end(), "store", now);
        // After a start, the peers have a state of their own. The list of every instance that
        // starts would be most of the traffic between instances.
        if (targetsReadFrom > 0) {
          broadcastUpdate(0, list.end(), list.records(), true);
        }
        publishIfChanged(now, "store");
      }
      case CatalogSource.TargetsReadResult.Unavailable unavailable -> {
        // The peers read when it is their turn; this instance retries at its next turn.
        lastFailedTargetsReadAt = now;
        markSourceUnavailable("targets", unavailable.reason(), now);
      }
    }
  }

  /**
   * Records a successful read of the list of targets by this instance or a peer.
   *
   * <p>If reads failed and none succeeded anywhere for {@link #OUTAGE_THRESHOLD}, the store was
   * unavailable and entries that expired meanwhile may reappear, so removals get a grace period. A
   * time without reads alone is no sign of it: the readers may have been lost.
   */
  private void recordTargetsRead(ClockReading now) {
    Duration interval = now.since(lastTargetsReadAt);
    boolean failedSince =
        lastStoreFailureAt.filter(failure -> failure.isAfter(lastTargetsReadAt)).isPresent();
    if (targetsKnown && failedSince && interval.compareTo(OUTAGE_THRESHOLD) > 0) {
      removalGraceUntil = now.plus(REMOVAL_GRACE_PERIOD);
      events
          .event("removals.deferred")
          .with("unread-ms", interval.toMillis())
          .with("grace-ms", REMOVAL_GRACE_PERIOD.toMillis())
          .emit();
    }
    lastTargetsReadAt = now;
  }

  /**
   * Applies the newest records of all targets. The record of a removal may have been deleted from
   * the store, or lie in a range that this instance has not read, so the targets that the list
   * doesn't name are removed.
   */
  private void applyCompleteList(
      List<TargetChange> records, long end, String from, ClockReading now) {
    Duration gracePeriod =
        now.isBefore(removalGraceUntil) ? removalGraceUntil.since(now) : Duration.ZERO;
    List<TargetId> removed = directory.applyComplete(records, end, gracePeriod, now);
    targetsEnd = Math.max(targetsEnd, end);
    targetsKnown = true;
    if (!removed.isEmpty()) {
      events
          .event("targets.unlisted")
          .with("from", from)
          .with("offset", end)
          .with("listed", records.size())
          .with("removed", removed.stream().map(TargetId::value).collect(Collectors.joining(",")))
          .with("grace-ms", gracePeriod.toMillis())
          .emit();
    }
  }

  private boolean isShorterThanGracePeriod(Duration gracePeriod, ClockReading now) {
    return gracePeriod.compareTo(removalGraceUntil.since(now)) < 0;
  }

  private TargetChange withGracePeriod(TargetChange change, ClockReading now) {
    return switch (change) {
      case TargetChange.Removed removed when isShorterThanGracePeriod(removed.gracePeriod(), now) ->
          new TargetChange.Removed(removed.offset(), removed.id(), removalGraceUntil.since(now));
      default -> change;
    };
  }

  // ---- peers

  private void onStoreUnavailable(ClockReading now) {
    lastStoreFailureAt = Optional.of(now);
  }

  private void broadcastUpdate(long from, long to, List<TargetChange> changes, boolean complete) {
    exchange.sendAll(
        CatalogMessages.UPDATE,
        new CatalogMessages.Update(
            knownSettingsEnd(),
            from,
            to,
            changes.stream().map(CatalogMessages.TargetRecord::of).toList(),
            complete));
  }

  private void onUpdate(InstanceId from, CatalogMessages.Update update, ClockReading now) {
    recordTargetsRead(now);
    List<TargetChange> changes =
        update.changes().stream().map(CatalogMessages.TargetRecord::toChange).toList();
    if (update.complete()) {
      applyCompleteList(changes, update.to(), from.value(), now);
    } else {
      changes.forEach(change -> directory.apply(withGracePeriod(change, now), now));
      // A read from offset 0 returns the newest records and skips those of removals.
      if (update.from() > 0 && update.from() <= targetsEnd && targetsKnown) {
        targetsEnd = Math.max(targetsEnd, update.to());
      }
    }
    if (update.to() > targetsEnd || update.settingsEnd() > knownSettingsEnd()) {
      requestSync(from, now);
    }
    publishIfChanged(now, from.value());
  }

  private void onPeerReadSettings(
      InstanceId from, InstanceId via, CatalogMessages.SettingsRead message, ClockReading now) {
    if (readSchedule.isPreceding(peers, from)) {
      lastPrecedingSettingsReadAt = now;
    }
    if (message.settingsEnd() > knownSettingsEnd()) {
      requestSync(via, now);
    }
  }

  private void requestSync(InstanceId peer, ClockReading now) {
    if (syncRequestAt.isEmpty()) {
      syncRequestAt = Optional.of(now.plus(SYNC_REQUEST_DELAY));
      syncPeer = Optional.of(peer);
    }
  }

  /** Returns the offset after the settings in force, 0 if there are none. */
  private long knownSettingsEnd() {
    return document.map(d -> d.offset() + 1).orElse(0L);
  }

  private void onSyncRequest(
      InstanceId from, CatalogMessages.SyncRequest request, ClockReading now) {
    Optional<CatalogSource.SettingsDocument> missingSettings =
        document.filter(d -> d.offset() >= request.settingsEnd());
    boolean isMissingTargets = targetsKnown && targetsEnd > request.targetsEnd();
    if (missingSettings.isEmpty() && !isMissingTargets) {
      return;
    }
    exchange.send(
        from,
        CatalogMessages.SYNC_RESPONSE,
        new CatalogMessages.SyncResponse(
            missingSettings.map(CatalogSource.SettingsDocument::offset).orElse(-1L),
            missingSettings.map(CatalogSource.SettingsDocument::content).orElse(new byte[0]),
            isMissingTargets ? targetsEnd : -1,
            isMissingTargets
                ? directory.toRecords(now).stream().map(CatalogMessages.TargetRecord::of).toList()
                : List.of()));
  }

  private void onSyncResponse(CatalogMessages.SyncResponse response, ClockReading now) {
    response.document().ifPresent(d -> adopt(d, "peer", now));
    if (response.targetsEnd() >= 0) {
      applyCompleteList(
          response.targets().stream().map(CatalogMessages.TargetRecord::toChange).toList(),
          response.targetsEnd(),
          "peer",
          now);
    }
    publishIfChanged(now, "peer");
  }

  /**
   * Stores the reachable peers and, while this instance has no settings or targets yet, requests
   * them from a newly reachable peer.
   */
  private void onPeersChanged(PeerView view, ClockReading now) {
    Set<InstanceId> before = peers.reachable();
    peers = view;
    if (settings.isEmpty() || !targetsKnown) {
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

  // ---- directory of instances

  private void onDirectoryRead(CatalogSource.DirectoryReadResult result, ClockReading now) {
    switch (result) {
      case CatalogSource.DirectoryReadResult.Read read -> {
        Optional<Member> entry =
            read.members().stream().filter(m -> m.id().equals(self.id())).findFirst();
        List<Member> others =
            read.members().stream().filter(m -> !m.id().equals(self.id())).toList();
        events
            .event("directory.read")
            .with("others", others.size())
            .with("has-self", entry.isPresent())
            .emit();
        context.publish(
            Broadcasts.DIRECTORY, new Broadcasts.InstanceDirectory(others, entry.isPresent()));
        if (entry.filter(e -> !e.peerAddress().equals(self.peerAddress())).isPresent()) {
          registerAt = Optional.of(now);
        }
      }
      case CatalogSource.DirectoryReadResult.Unavailable unavailable -> {
        directoryReadAt = Optional.of(now.plus(DIRECTORY_RETRY_DELAY));
        markSourceUnavailable("instances", unavailable.reason(), now);
      }
    }
  }

  private void onFleetChanged(FleetView view, ClockReading now) {
    if (view.awaitsRegistration() && !awaitsRegistration) {
      registerAt = Optional.of(now);
    }
    awaitsRegistration = view.awaitsRegistration();
    for (InstanceId removed : view.departed()) {
      if (pendingRemovals.add(removed)) {
        removeFromDirectory(removed);
      }
    }
  }

  private void removeFromDirectory(InstanceId removed) {
    source
        .deregister(removed)
        .thenAccept(
            result -> completions.accept(new CatalogInput.RemovalCompleted(removed, result)));
  }

  /**
   * Reads the directory again after registration, because an instance that registered concurrently
   * may not know of this one.
   */
  private void onRegistered(CatalogSource.DirectoryUpdateResult result, ClockReading now) {
    switch (result) {
      case CatalogSource.DirectoryUpdateResult.Acknowledged ignored ->
          directoryReadAt = Optional.of(now);
      case CatalogSource.DirectoryUpdateResult.OutcomeUnknown unknown -> {
        registerAt = Optional.of(now.plus(DIRECTORY_RETRY_DELAY));
        markSourceUnavailable("instances", unknown.reason(), now);
      }
    }
  }

  private void onRemovalCompleted(
      InstanceId removed, CatalogSource.DirectoryUpdateResult result, ClockReading now) {
    pendingRemovals.remove(removed);
    switch (result) {
      case CatalogSource.DirectoryUpdateResult.Acknowledged ignored -> {
        events.event("directory.removed").with("instance", removed).emit();
        context.publish(Broadcasts.INSTANCE_REMOVED, removed);
      }
      // The next fleet view lists the instance again, which triggers another attempt.
      case CatalogSource.DirectoryUpdateResult.OutcomeUnknown unknown ->
          markSourceUnavailable("instances", unknown.reason(), now);
    }
  }

  // ---- publication

  private void publishIfChanged(ClockReading now, String from) {
    List<TargetEntry> usable = directory.usableTargets(now);
    if (hasSameTargets(usable, publishedTargets)) {
      publishFreshnessOnce(now);
      return;
    }
    events
        .event("targets.changed")
        .with("from", from)
        .with("targets", usable.size())
        .with("before", publishedTargets.size())
        .with("offset", targetsEnd)
        .with("gone", idsMissingFrom(publishedTargets, usable))
        .with("new", idsMissingFrom(usable, publishedTargets))
        .emit();
    publishedTargets = usable;
    publish(now);
  }

  private static boolean hasSameTargets(List<TargetEntry> a, List<TargetEntry> b) {
    if (a.size() != b.size()) {
      return false;
    }
    for (int i = 0; i < a.size(); i++) {
      TargetEntry first = a.get(i);
      TargetEntry second = b.get(i);
      if (!first.target().equals(second.target())
          || !first.pool().equals(second.pool())
          || first.slots() != second.slots()) {
        return false;
      }
    }
    return true;
  }

  private static String idsMissingFrom(List<TargetEntry> entries, List<TargetEntry> others) {
    Set<Target> known = others.stream().map(TargetEntry::target).collect(Collectors.toSet());
    return entries.stream()
        .map(TargetEntry::target)
        .filter(target -> !known.contains(target))
        .map(target -> target.id().value())
        .collect(Collectors.joining(","));
  }

  private void publish(ClockReading now) {
    if (settings.isEmpty()) {
      return;
    }
    revision++;
    CatalogSource.CatalogSettings s = settings.get();
    TeamSettings team =
        new TeamSettings(PUBLISHED_TEAM, s.organisations(), s.keys(), pools(s), s.routes());
    Configuration configuration =
        Configuration.of(revision, Map.of(PUBLISHED_TEAM, team), Set.of(), Members.NONE);
    context.publish(Broadcasts.CONFIGURATION, configuration);
    publishFreshnessOnce(now);
    reportStatus(s);
  }

  /**
   * Marks the configuration as fresh once both settings and targets are known; from then on the
   * instance serves requests with it.
   */
  private void publishFreshnessOnce(ClockReading now) {
    if (settings.isPresent() && targetsKnown && freshness.isEmpty()) {
      freshness = Optional.of(new Freshness(now.plus(UNLIMITED_VALIDITY), Freshness.Source.LOG));
      context.publish(Broadcasts.FRESHNESS, freshness.get());
      reportStatus(settings.get());
    }
  }

  private void reportStatus(CatalogSource.CatalogSettings s) {
    statusListener.accept(new CatalogStatus(revision, s.version(), freshness));
  }

  private List<Pool> pools(CatalogSource.CatalogSettings s) {
    Map<PoolId, List<TargetEntry>> byPool = new HashMap<>();
    publishedTargets.forEach(e -> byPool.computeIfAbsent(e.pool(), id -> new ArrayList<>()).add(e));
    return s.pools().stream()
        .map(
            id -> {
              List<TargetEntry> entries = byPool.getOrDefault(id, List.of());
              int slots = entries.stream().mapToInt(TargetEntry::slots).min().orElse(1);
              return new Pool(
                  id, NO_EJECTION_FLOOR, slots, entries.stream().map(TargetEntry::target).toList());
            })
        .toList();
  }

  private void markSourceUnavailable(String what, String reason, ClockReading now) {
    lastStoreFailureAt = Optional.of(now);
    if (!sourceUnavailable) {
      sourceUnavailable = true;
      exchange.sendAll(
          CatalogMessages.STORE_UNAVAILABLE, new CatalogMessages.StoreUnavailable(what));
      events.event("store.lost").with("reading", what).with("reason", reason).emit();
    }
  }

  private void markSourceAvailable() {
    if (sourceUnavailable) {
      sourceUnavailable = false;
      events.event("store.regained").emit();
    }
  }
}
