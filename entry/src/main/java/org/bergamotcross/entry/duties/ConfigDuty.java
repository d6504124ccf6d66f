package org.bergamotcross.entry.duties;

import com.codahale.metrics.Meter;
import com.codahale.metrics.Timer;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.bergamotcross.core.config.ConfigurationFold;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.core.config.FoldResult;
import org.bergamotcross.core.config.LogReader;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.CatchUpPolicy;
import org.bergamotcross.core.membership.FreshnessTracker;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.Broadcasts.Freshness;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.entry.PeerExchange.Sender;
import org.bergamotcross.entry.StatusSource.Status;
import org.bergamotcross.entry.platform.ControlRecordCodec;
import org.bergamotcross.entry.platform.PlatformClient;
import org.bergamotcross.entry.platform.PlatformClient.AppendResult;
import org.bergamotcross.entry.platform.PlatformClient.ListResult;
import org.bergamotcross.entry.platform.PlatformClient.LogRecord;
import org.bergamotcross.entry.platform.PlatformClient.PlatformInstance;
import org.bergamotcross.entry.platform.PlatformClient.ReadResult;
import org.bergamotcross.entry.platform.TeamSettingsParser;
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.EventLog;
import org.bergamotcross.kernel.Now;
import org.bergamotcross.kernel.PluginContext;

/** Folds the log, tells the other duties what is in force, and keeps the membership. */
final class ConfigDuty implements DutyHandler<ConfigInput> {
  private static final Duration TICK = Duration.ofMillis(100);
  // Work that takes time in the number of members; freshness counts in seconds.
  private static final Duration REVIEW_INTERVAL = Duration.ofMillis(200);
  private static final Duration LIST_INTERVAL = Duration.ofSeconds(1);

  private final Member self;
  private final PluginContext context;
  private final EventLog events;
  private final PlatformClient client;
  private final PeerExchange exchange;
  private final Consumer<ConfigInput> completions;
  private final Consumer<Status> statusReceiver;
  private final ConfigurationFold fold = new ConfigurationFold(TeamSettingsParser.contentReader());
  private final LogReader reader = new LogReader(fold);
  private final LogFollower follower;
  private final MembershipKeeper membership;
  private final FreshnessTracker freshness;
  private final CatchUpPolicy catchUp = new CatchUpPolicy();
  private final RecentRecords recent = new RecentRecords();
  private final LeavingTargetList leavingList = new LeavingTargetList();
  private final Meter readFailures;
  private final Timer publishTime;
  private Set<TargetId> leaving = Set.of();
  private Optional<Freshness> published = Optional.empty();
  private Optional<Now> atHeadAt = Optional.empty();
  private Optional<Now> nextReviewAt = Optional.empty();
  private Optional<Now> nextListAt = Optional.empty();
  private boolean scanningReported;

  ConfigDuty(
      Member self,
      PluginContext context,
      PlatformClient client,
      PeerExchange exchange,
      Consumer<ConfigInput> completions,
      Consumer<Status> statusReceiver) {
    this.self = self;
    this.context = context;
    this.events = context.events();
    this.client = client;
    this.exchange = exchange;
    this.completions = completions;
    this.statusReceiver = statusReceiver;
    this.follower = new LogFollower(client, reader, completions);
    this.membership = new MembershipKeeper(self, client, completions, events);
    this.freshness = new FreshnessTracker(self);
    this.readFailures = context.metrics().meter("config.read-failures");
    this.publishTime = context.metrics().timer("config.publish");
  }

  @Override
  public void onMessage(ConfigInput input, Now now) {
    switch (input) {
      case ConfigInput.ReadEnded ended -> readEnded(ended, now);
      case ConfigInput.AppendEnded ended -> appendEnded(ended);
      case ConfigInput.ListEnded ended -> listEnded(ended.result(), now);
      case ConfigInput.Echoed echoed -> echoed(echoed.echo(), now);
      case ConfigInput.FromPeer message -> fromPeer(message.from(), message.message(), now);
      case ConfigInput.Stop stop -> membership.stop();
    }
  }

  @Override
  public Duration onTick(Now now) {
    follower.poll(now);
    askPeer(now);
    if (nextReviewAt.isEmpty() || !now.isBefore(nextReviewAt.get())) {
      nextReviewAt = Optional.of(now.plus(REVIEW_INTERVAL));
      review(now);
    }
    return TICK;
  }

  private void review(Now now) {
    pollList(now);
    membership.act(fold, isAtHead(now), now);
    freshness.forgetSilent(fold.members(), now);
    catchUp.retain(freshness.offsets().keySet());
    refresh(now);
  }

  // Appends rest on a state that was the head a short time ago; an older one may be superseded.
  private boolean isAtHead(Now now) {
    return atHeadAt.isPresent()
        && now.since(atHeadAt.get()).compareTo(FreshnessTracker.VALIDITY) < 0;
  }

  private void readEnded(ConfigInput.ReadEnded ended, Now now) {
    follower.ended(ended, now);
    switch (ended.result()) {
      case ReadResult.Page page -> page(page, ended, now);
      case ReadResult.NotRetained gone -> reader.gone(gone.earliest());
      case ReadResult.Unavailable unavailable -> readFailures.mark();
    }
    reportScanning();
    follower.poll(now);
    refresh(now);
  }

  private void page(ReadResult.Page page, ConfigInput.ReadEnded ended, Now now) {
    membership.retained(page.earliest());
    boolean full = page.records().size() >= LogFollower.MAX_RECORDS;
    LogReader.PageResult result =
        reader.page(
            new LogReader.Page(
                ended.from(),
                page.earliest(),
                page.next(),
                LogFollower.entries(page.records()),
                full));
    folded(result.steps(), page.records(), now);
    if (result.atHead()) {
      atHeadAt = Optional.of(ended.sentAt());
      freshness.logConfirmed(ended.sentAt(), fold.offset(), now);
    }
  }

  private void folded(List<LogReader.Step> steps, List<LogRecord> records, Now now) {
    boolean advanced = false;
    for (LogReader.Step step : steps) {
      advanced |= advances(step.result());
      step.members().ifPresent(members -> context.publish(Broadcasts.CONFIGURATION, members));
      report(step, now);
      records.stream()
          .filter(record -> record.offset() == step.offset() && advances(step.result()))
          .forEach(recent::add);
    }
    if (advanced) {
      publish();
    }
  }

  private static boolean advances(FoldResult result) {
    return !(result instanceof FoldResult.AlreadyKnown) && !(result instanceof FoldResult.Gap);
  }

  private void publish() {
    publishTime.time(() -> context.publish(Broadcasts.CONFIGURATION, fold.configuration()));
  }

  private void report(LogReader.Step step, Now now) {
    switch (step.result()) {
      case FoldResult.Accepted accepted -> reportAccepted(step.offset(), accepted.record(), now);
      case FoldResult.Unchanged unchanged -> {
        if (unchanged.record() instanceof ControlRecord.Snapshot snapshot) {
          membership.snapshotSeen(snapshot.state().upTo(), now);
        }
      }
      case FoldResult.Conflict conflict ->
          refused(step, "conflict")
              .with("winner", conflict.winner().map(w -> w.editId()))
              .with("winner-author", conflict.winner().map(w -> w.author()))
              .with("winner-offset", conflict.winner().map(w -> w.offset()))
              .emit();
      case FoldResult.Invalid invalid ->
          refused(step, "invalid").with("problem", invalid.problems().get(0)).emit();
      case FoldResult.Duplicate duplicate ->
          refused(step, "duplicate").with("first", duplicate.first().offset()).emit();
      case FoldResult.AlreadyKnown known -> {}
      case FoldResult.Gap gap ->
          events
              .event("config.gap")
              .with("offset", step.offset())
              .with("expected", gap.expected())
              .emit();
    }
  }

  private EventLog.Event refused(LogReader.Step step, String reason) {
    return events.event("config.refused").with("offset", step.offset()).with("reason", reason);
  }

  private void reportAccepted(long offset, ControlRecord record, Now now) {
    EventLog.Event event = events.event("config.accepted").with("offset", offset);
    switch (record) {
      case ControlRecord.Edit edit ->
          event
              .with("type", "edit")
              .with("edit", edit.editId())
              .with("path", edit.path())
              .with("author", edit.author());
      case ControlRecord.Withdraw withdraw ->
          event.with("type", "withdraw").with("edit", withdraw.editId());
      case ControlRecord.Snapshot snapshot -> {
        membership.snapshotSeen(snapshot.state().upTo(), now);
        event.with("type", "snapshot").with("up-to", snapshot.state().upTo());
      }
      case ControlRecord.Join join -> event.with("type", "join").with("member", join.member().id());
      case ControlRecord.Leave leave ->
          event.with("type", "leave").with("member", leave.instance());
      case ControlRecord.Expel expel ->
          event.with("type", "expel").with("member", expel.instance());
    }
    event.emit();
  }

  private void reportScanning() {
    if (reader.isScanning() != scanningReported) {
      scanningReported = reader.isScanning();
      events
          .event(scanningReported ? "config.scanning" : "config.following")
          .with("offset", fold.offset())
          .emit();
    }
  }

  private void appendEnded(ConfigInput.AppendEnded ended) {
    EventLog.Event event = events.event("config.append").with("purpose", ended.purpose().name());
    switch (ended.result()) {
      case AppendResult.Appended appended -> {
        reader.appended(appended.offset());
        event.with("offset", appended.offset());
      }
      case AppendResult.Refused refused -> event.with("refused", refused.reason());
      case AppendResult.Unavailable unavailable -> event.with("failed", unavailable.reason());
      case AppendResult.OutcomeUnknown unknown -> event.with("unknown", unknown.reason());
    }
    event.emit();
  }

  private void pollList(Now now) {
    if (nextListAt.isPresent() && now.isBefore(nextListAt.get())) {
      return;
    }
    nextListAt = Optional.of(now.plus(LIST_INTERVAL));
    client
        .listInstances()
        .thenAccept(result -> completions.accept(new ConfigInput.ListEnded(result)));
  }

  private void listEnded(ListResult result, Now now) {
    if (!(result instanceof ListResult.Listed listed)) {
      return;
    }
    Set<InstanceId> instances =
        listed.instances().stream()
            .filter(instance -> instance.kind() == PlatformInstance.Kind.ENTRY)
            .map(instance -> new InstanceId(instance.id()))
            .collect(Collectors.toSet());
    membership.listed(instances, fold.members());
    Set<TargetId> next = leavingList.update(listed.instances(), fold.configuration(), now);
    if (!next.equals(leaving)) {
      leaving = next;
      events.event("targets.leaving").with("targets", next).emit();
      context.publish(Broadcasts.LEAVING_TARGETS, new Broadcasts.LeavingTargets(next));
    }
  }

  private void echoed(Broadcasts.HeartbeatEcho echo, Now now) {
    InstanceId peer = echo.peer().id();
    freshness.echoed(peer, echo.peer().incarnation(), echo.heartbeatSentAt(), echo.offset());
    membership.echoed(peer, echo.heartbeatSentAt());
    catchUp.echoed(peer, echo.offset());
    if (echo.offset() > fold.offset()) {
      askPeer(now);
    }
  }

  private void askPeer(Now now) {
    catchUp
        .next(fold.offset(), now)
        .ifPresent(
            ask -> {
              switch (ask) {
                case CatchUpPolicy.Ask.ForRecords records ->
                    exchange.send(
                        records.peer(),
                        PeerMessage.RECORDS_ASK,
                        new PeerMessage.RecordsAsk(fold.offset() + 1));
                case CatchUpPolicy.Ask.ForSnapshot snapshot ->
                    exchange.send(
                        snapshot.peer(),
                        PeerMessage.SNAPSHOT_ASK,
                        new PeerMessage.SnapshotAsk(fold.offset()));
              }
            });
  }

  private void fromPeer(Sender from, PeerMessage message, Now now) {
    switch (message) {
      case PeerMessage.RecordsAsk ask ->
          exchange.send(from.id(), PeerMessage.RECORDS, recent.answer(ask.from(), fold.offset()));
      case PeerMessage.SnapshotAsk ask -> {
        if (fold.offset() > ask.above()) {
          byte[] record = ControlRecordCodec.encode(new ControlRecord.Snapshot(fold.state()));
          exchange.send(
              from.id(),
              PeerMessage.SNAPSHOT,
              new PeerMessage.Snapshot(Base64.getEncoder().encodeToString(record)));
        }
      }
      case PeerMessage.Records records -> recordsOf(from, records, now);
      case PeerMessage.Snapshot snapshot -> snapshotOf(from, snapshot, now);
    }
  }

  private void recordsOf(Sender from, PeerMessage.Records answer, Now now) {
    List<LogRecord> records =
        answer.records().stream()
            .flatMap(
                entry -> base64(entry.data()).map(d -> new LogRecord(entry.offset(), d)).stream())
            .toList();
    long before = fold.offset();
    folded(reader.recordsOfPeer(LogFollower.entries(records)), records, now);
    catchUp.answered(from.id(), fold.offset() > before);
    askPeer(now);
    refresh(now);
  }

  private void snapshotOf(Sender from, PeerMessage.Snapshot answer, Now now) {
    Optional<ControlRecordCodec.Decoded> decoded =
        base64(answer.record()).map(ControlRecordCodec::decode);
    if (decoded.isPresent()
        && decoded.get() instanceof ControlRecordCodec.Decoded.Valid understood
        && understood.record() instanceof ControlRecord.Snapshot snapshot
        && reader.snapshotOfPeer(snapshot.state()) instanceof FoldResult.Accepted) {
      events.event("config.adopted").with("peer", from.id()).with("offset", fold.offset()).emit();
      catchUp.answered(from.id(), true);
      publish();
      refresh(now);
    }
  }

  private static Optional<byte[]> base64(String text) {
    try {
      return Optional.of(Base64.getDecoder().decode(text));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private void refresh(Now now) {
    Freshness next =
        freshness
            .evaluate(fold.members(), fold.offset(), now)
            .map(c -> new Freshness(c.validUntil(), source(c.source())))
            .orElseGet(() -> new Freshness(now, Freshness.Source.NONE));
    if (published.isEmpty() || isNews(published.get(), next)) {
      published = Optional.of(next);
      context.publish(Broadcasts.FRESHNESS, next);
    }
    statusReceiver.accept(status(published.get()));
  }

  private static boolean isNews(Freshness old, Freshness next) {
    return next.source() != Freshness.Source.NONE && !next.equals(old);
  }

  private static Freshness.Source source(FreshnessTracker.Source source) {
    return switch (source) {
      case LOG -> Freshness.Source.LOG;
      case PEERS -> Freshness.Source.PEERS;
    };
  }

  private Status status(Freshness current) {
    return new Status(
        self.id(),
        self.incarnation(),
        fold.offset(),
        reader.isScanning(),
        fold.versions(),
        fold.members(),
        current,
        freshness.offsets());
  }
}
