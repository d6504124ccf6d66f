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
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.core.membership.ReadingTurn;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.Broadcasts.Freshness;
import org.bergamotcross.entry.CatalogSource;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.EventLog;
import org.bergamotcross.kernel.Now;
import org.bergamotcross.kernel.PluginContext;

/**
 * Follows the published settings and the list of targets, and shares both with the peers.
 *
 * <p>A few instances wait for new settings, one reads the list of targets at a time. Whoever learns
 * something tells all others; whoever finds that it lacks something asks the peer that has it. So
 * an instance that the store turns away knows what the others know.
 */
final class CatalogDuty implements DutyHandler<CatalogInput> {
  /** The name under which the published settings stand in {@link Configuration#teams}. */
  static final String TEAM = "published";

  /** Ejection is left to the estimates of the routing duty, which only prefer. */
  private static final double NO_FLOOR = 0;

  /**
   * The instances that wait for settings, so that one that is turned away is never the only one.
   */
  private static final int WAITING_READERS = 3;

  /** Bounds what a connection that has gone silent costs; peers tell of new settings meanwhile. */
  private static final Duration SETTINGS_WAIT = Duration.ofSeconds(8);

  private static final Duration RETRY = Duration.ofMillis(500);
  private static final Duration DIRECTORY_RETRY = Duration.ofSeconds(2);

  /** Three turns of the first reader without news. */
  private static final Duration NEWS_MISSING = Duration.ofMillis(1_200);

  /** Entries that lapsed during an outage are back about 2 s after it. */
  private static final Duration LAPSE_PATIENCE = Duration.ofMillis(2_500);

  /** The own read may bring the same settings at this moment. */
  private static final Duration ASK_DELAY = Duration.ofMillis(150);

  private static final Duration LONG = Duration.ofDays(365);
  private static final Duration IDLE = Duration.ofSeconds(1);

  private final Member self;
  private final CatalogSource source;
  private final PeerExchange exchange;
  private final PluginContext context;
  private final EventLog events;
  private final Consumer<CatalogInput> completions;
  private final Consumer<CatalogStatus> status;
  private final ReadingTurn turn;
  private final TargetDirectory directory = new TargetDirectory();
  private PeerView peers = PeerView.NONE;
  private Optional<CatalogSource.SettingsDocument> document = Optional.empty();
  private Optional<CatalogSource.CatalogSettings> settings = Optional.empty();
  private List<TargetEntry> published = List.of();
  private long settingsEnd;
  private long targetsEnd;
  private long revision = -1;
  private Now lastNews;
  private Now lastTry;
  private Now patienceUntil;
  private Optional<Now> settingsRetryAt;
  private Optional<Now> directoryAt;
  private Optional<Now> enterAt = Optional.empty();
  private final Set<InstanceId> removing = new HashSet<>();
  private Optional<Now> askAt = Optional.empty();
  private Optional<InstanceId> askWhom = Optional.empty();
  private Optional<Freshness> freshness = Optional.empty();
  private boolean targetsKnown;
  private boolean readingSettings;
  private boolean readingTargets;
  private boolean sourceLost;
  private boolean awaitsRegistration;

  CatalogDuty(
      Member self,
      CatalogSource source,
      PeerExchange exchange,
      PluginContext context,
      Consumer<CatalogInput> completions,
      Consumer<CatalogStatus> status) {
    this.self = self;
    this.source = source;
    this.exchange = exchange;
    this.context = context;
    this.events = context.events();
    this.completions = completions;
    this.status = status;
    this.turn = new ReadingTurn(self.id());
    Now now = context.time().now();
    this.lastNews = now.plus(NEWS_MISSING.negated());
    this.lastTry = lastNews;
    this.patienceUntil = now;
    this.settingsRetryAt = Optional.of(now);
    this.directoryAt = Optional.of(now);
  }

  @Override
  public void onMessage(CatalogInput input, Now now) {
    switch (input) {
      case CatalogInput.SettingsRead read -> onSettings(read.result(), now);
      case CatalogInput.TargetsRead read -> onTargets(read.result(), now);
      case CatalogInput.DirectoryRead read -> onDirectory(read.result(), now);
      case CatalogInput.Entered entered -> onEntered(entered.result(), now);
      case CatalogInput.Removed removed -> onRemoved(removed.instance(), removed.result());
      case CatalogInput.FleetChanged changed -> onFleet(changed.view(), now);
      case CatalogInput.PeersChanged changed -> onPeers(changed.view(), now);
      case CatalogInput.News news -> onNews(news.from(), news.message(), now);
      case CatalogInput.Ask ask -> onAsk(ask.from(), ask.message(), now);
      case CatalogInput.State state -> onState(state.message(), now);
    }
  }

  @Override
  public Duration onTick(Now now) {
    if (isDue(directoryAt, now)) {
      directoryAt = Optional.empty();
      source.readDirectory().thenAccept(r -> completions.accept(new CatalogInput.DirectoryRead(r)));
    }
    if (isDue(enterAt, now)) {
      enterAt = Optional.empty();
      source.register(self).thenAccept(r -> completions.accept(new CatalogInput.Entered(r)));
    }
    if (isDue(settingsRetryAt, now)) {
      settingsRetryAt = Optional.empty();
      readSettings(now);
    }
    if (!readingTargets && !now.isBefore(readDue())) {
      readingTargets = true;
      source
          .readTargets(targetsEnd)
          .thenAccept(r -> completions.accept(new CatalogInput.TargetsRead(r)));
    }
    if (isDue(askAt, now)) {
      askAt = Optional.empty();
      askWhom.ifPresent(
          peer ->
              exchange.send(
                  peer, CatalogMessages.ASK, new CatalogMessages.Ask(settingsEnd, targetsEnd)));
    }
    publishIfChanged(now, "time");
    return Stream.of(
            directoryAt,
            enterAt,
            settingsRetryAt,
            askAt,
            directory.nextEnd(now),
            readingTargets ? Optional.<Now>empty() : Optional.of(readDue()))
        .flatMap(Optional::stream)
        .min(Comparator.naturalOrder())
        .map(due -> due.since(now))
        .map(wait -> wait.isNegative() ? Duration.ofMillis(1) : wait)
        .filter(wait -> wait.compareTo(IDLE) < 0)
        .orElse(IDLE);
  }

  private Now readDue() {
    return turn.due(peers, lastNews.isAfter(lastTry) ? lastNews : lastTry);
  }

  private static boolean isDue(Optional<Now> at, Now now) {
    return at.filter(due -> !now.isBefore(due)).isPresent();
  }

  // ---- settings

  /** An instance that hears the readers leaves the waiting to them. */
  private void readSettings(Now now) {
    boolean hearsNews = now.since(lastNews).compareTo(NEWS_MISSING) < 0;
    if (settings.isPresent() && turn.rank(peers) >= WAITING_READERS && hearsNews) {
      settingsRetryAt = Optional.of(now.plus(RETRY));
      return;
    }
    if (!readingSettings) {
      readingSettings = true;
      source
          .readSettings(settingsEnd, SETTINGS_WAIT)
          .thenAccept(r -> completions.accept(new CatalogInput.SettingsRead(r)));
    }
  }

  private void onSettings(CatalogSource.SettingsReadResult result, Now now) {
    readingSettings = false;
    switch (result) {
      case CatalogSource.SettingsReadResult.Read read -> {
        settingsRetryAt = Optional.of(now);
        sourceReached();
        if (read.document().filter(d -> takeOver(d, "store", now)).isPresent()) {
          tell(targetsEnd, targetsEnd, List.of());
        }
        settingsEnd = Math.max(settingsEnd, read.end());
      }
      case CatalogSource.SettingsReadResult.Unavailable unavailable -> {
        settingsRetryAt = Optional.of(now.plus(RETRY));
        sourceLost("settings", unavailable.reason());
      }
    }
  }

  /** Takes over a document unless it is older than the one in force; returns whether it did. */
  private boolean takeOver(CatalogSource.SettingsDocument offered, String from, Now now) {
    if (document.filter(d -> d.offset() >= offered.offset()).isPresent()) {
      return false;
    }
    return switch (source.decodeSettings(offered)) {
      case CatalogSource.DecodeResult.Invalid wrong -> {
        events
            .event("settings.unusable")
            .with("offset", offered.offset())
            .with("problem", wrong.problem())
            .emit();
        yield false;
      }
      case CatalogSource.DecodeResult.Valid right -> takeOver(offered, right.settings(), from, now);
    };
  }

  private boolean takeOver(
      CatalogSource.SettingsDocument offered,
      CatalogSource.CatalogSettings next,
      String from,
      Now now) {
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

  private void onTargets(CatalogSource.TargetsReadResult result, Now now) {
    readingTargets = false;
    switch (result) {
      case CatalogSource.TargetsReadResult.Read read -> {
        sourceReached();
        noteRead(now);
        List<TargetChange> told = new ArrayList<>();
        for (TargetChange change : read.changes()) {
          TargetChange patient = withPatience(change, now);
          if (directory.apply(patient, now)) {
            told.add(patient);
          }
        }
        long from = targetsEnd;
        targetsEnd = Math.max(targetsEnd, read.end());
        targetsKnown = true;
        tell(from, targetsEnd, told);
        publishIfChanged(now, "store");
      }
      case CatalogSource.TargetsReadResult.Unavailable unavailable -> {
        // The others read in their turn; this instance tries again in its own.
        lastTry = now;
        sourceLost("targets", unavailable.reason());
      }
    }
  }

  /** After a time without any read the store was away, and what lapsed meanwhile may come back. */
  private void noteRead(Now now) {
    if (targetsKnown && now.since(lastNews).compareTo(NEWS_MISSING) > 0) {
      patienceUntil = now.plus(LAPSE_PATIENCE);
    }
    lastNews = now;
  }

  private TargetChange withPatience(TargetChange change, Now now) {
    return switch (change) {
      case TargetChange.Removed removed when now.isBefore(patienceUntil) ->
          new TargetChange.Removed(removed.offset(), removed.id(), patienceUntil.since(now));
      default -> change;
    };
  }

  // ---- peers

  private void tell(long from, long to, List<TargetChange> changes) {
    exchange.sendAll(
        CatalogMessages.NEWS,
        new CatalogMessages.News(
            settingsEnd, from, to, changes.stream().map(CatalogMessages.Item::of).toList()));
  }

  private void onNews(InstanceId from, CatalogMessages.News news, Now now) {
    lastNews = now;
    news.changes().forEach(item -> directory.apply(item.change(), now));
    if (news.from() <= targetsEnd && targetsKnown) {
      targetsEnd = Math.max(targetsEnd, news.to());
    }
    boolean lacksTargets = news.to() > targetsEnd;
    boolean lacksSettings = document.map(d -> d.offset() + 1).orElse(0L) < news.settingsEnd();
    if ((lacksTargets || lacksSettings) && askAt.isEmpty()) {
      askAt = Optional.of(now.plus(ASK_DELAY));
      askWhom = Optional.of(from);
    }
    publishIfChanged(now, from.value());
  }

  private void onAsk(InstanceId from, CatalogMessages.Ask ask, Now now) {
    Optional<CatalogSource.SettingsDocument> lacking =
        document.filter(d -> d.offset() >= ask.settingsEnd());
    boolean lacksTargets = targetsKnown && targetsEnd > ask.targetsEnd();
    if (lacking.isEmpty() && !lacksTargets) {
      return;
    }
    exchange.send(
        from,
        CatalogMessages.STATE,
        new CatalogMessages.State(
            lacking.map(CatalogSource.SettingsDocument::offset).orElse(-1L),
            lacking.map(CatalogSource.SettingsDocument::content).orElse(new byte[0]),
            lacksTargets ? targetsEnd : -1,
            lacksTargets
                ? directory.records(now).stream().map(CatalogMessages.Item::of).toList()
                : List.of()));
  }

  private void onState(CatalogMessages.State state, Now now) {
    state.document().ifPresent(d -> takeOver(d, "peer", now));
    if (state.targetsEnd() >= 0) {
      state.targets().forEach(item -> directory.apply(item.change(), now));
      targetsEnd = Math.max(targetsEnd, state.targetsEnd());
      targetsKnown = true;
    }
    publishIfChanged(now, "peer");
  }

  /** An instance that knows nothing yet asks the first peer that it hears. */
  private void onPeers(PeerView view, Now now) {
    Set<InstanceId> before = peers.heard();
    peers = view;
    if (settings.isEmpty() || !targetsKnown) {
      view.heard().stream()
          .filter(peer -> !before.contains(peer))
          .findFirst()
          .ifPresent(
              peer -> {
                askAt = Optional.of(now);
                askWhom = Optional.of(peer);
              });
    }
  }

  // ---- directory of instances

  private void onDirectory(CatalogSource.DirectoryReadResult result, Now now) {
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
          enterAt = Optional.of(now);
        }
      }
      case CatalogSource.DirectoryReadResult.Unavailable unavailable -> {
        directoryAt = Optional.of(now.plus(DIRECTORY_RETRY));
        sourceLost("instances", unavailable.reason());
      }
    }
  }

  private void onFleet(FleetView view, Now now) {
    if (view.awaitsRegistration() && !awaitsRegistration) {
      enterAt = Optional.of(now);
    }
    awaitsRegistration = view.awaitsRegistration();
    for (InstanceId gone : view.departed()) {
      if (removing.add(gone)) {
        remove(gone);
      }
    }
  }

  private void remove(InstanceId gone) {
    source
        .deregister(gone)
        .thenAccept(result -> completions.accept(new CatalogInput.Removed(gone, result)));
  }

  /** Whoever entered itself at the same time may not know of this instance, so it reads again. */
  private void onEntered(CatalogSource.DirectoryUpdateResult result, Now now) {
    switch (result) {
      case CatalogSource.DirectoryUpdateResult.Acknowledged ignored ->
          directoryAt = Optional.of(now);
      case CatalogSource.DirectoryUpdateResult.OutcomeUnknown unknown -> {
        enterAt = Optional.of(now.plus(DIRECTORY_RETRY));
        sourceLost("instances", unknown.reason());
      }
    }
  }

  private void onRemoved(InstanceId gone, CatalogSource.DirectoryUpdateResult result) {
    removing.remove(gone);
    switch (result) {
      case CatalogSource.DirectoryUpdateResult.Acknowledged ignored -> {
        events.event("directory.removed").with("instance", gone).emit();
        context.publish(Broadcasts.INSTANCE_REMOVED, gone);
      }
      // The next view of the fleet names it again.
      case CatalogSource.DirectoryUpdateResult.OutcomeUnknown unknown ->
          sourceLost("instances", unknown.reason());
    }
  }

  // ---- publication

  private void publishIfChanged(Now now, String from) {
    List<TargetEntry> usable = directory.usable(now);
    if (isSame(usable, published)) {
      confirmOnce(now);
      return;
    }
    events
        .event("targets.changed")
        .with("from", from)
        .with("targets", usable.size())
        .with("before", published.size())
        .with("offset", targetsEnd)
        .with("gone", names(published, usable))
        .with("new", names(usable, published))
        .emit();
    published = usable;
    publish(now);
  }

  private static boolean isSame(List<TargetEntry> a, List<TargetEntry> b) {
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

  private static String names(List<TargetEntry> of, List<TargetEntry> without) {
    Set<Target> known = without.stream().map(TargetEntry::target).collect(Collectors.toSet());
    return of.stream()
        .map(TargetEntry::target)
        .filter(target -> !known.contains(target))
        .map(target -> target.id().value())
        .collect(Collectors.joining(","));
  }

  private void publish(Now now) {
    if (settings.isEmpty()) {
      return;
    }
    revision++;
    CatalogSource.CatalogSettings s = settings.get();
    TeamSettings team = new TeamSettings(TEAM, s.organisations(), s.keys(), pools(s), s.routes());
    Configuration configuration =
        Configuration.of(revision, Map.of(TEAM, team), Set.of(), Members.NONE);
    context.publish(Broadcasts.CONFIGURATION, configuration);
    confirmOnce(now);
    showStatus(s);
  }

  /** From the time on at which settings and targets are known, the instance serves with them. */
  private void confirmOnce(Now now) {
    if (settings.isPresent() && targetsKnown && freshness.isEmpty()) {
      freshness = Optional.of(new Freshness(now.plus(LONG), Freshness.Source.LOG));
      context.publish(Broadcasts.FRESHNESS, freshness.get());
      showStatus(settings.get());
    }
  }

  private void showStatus(CatalogSource.CatalogSettings s) {
    status.accept(new CatalogStatus(revision, s.version(), freshness));
  }

  private List<Pool> pools(CatalogSource.CatalogSettings s) {
    Map<PoolId, List<TargetEntry>> byPool = new HashMap<>();
    published.forEach(e -> byPool.computeIfAbsent(e.pool(), id -> new ArrayList<>()).add(e));
    return s.pools().stream()
        .map(
            id -> {
              List<TargetEntry> entries = byPool.getOrDefault(id, List.of());
              int slots = entries.stream().mapToInt(TargetEntry::slots).min().orElse(1);
              return new Pool(
                  id, NO_FLOOR, slots, entries.stream().map(TargetEntry::target).toList());
            })
        .toList();
  }

  private void sourceLost(String what, String reason) {
    if (!sourceLost) {
      sourceLost = true;
      events.event("store.lost").with("reading", what).with("reason", reason).emit();
    }
  }

  private void sourceReached() {
    if (sourceLost) {
      sourceLost = false;
      events.event("store.regained").emit();
    }
  }
}
