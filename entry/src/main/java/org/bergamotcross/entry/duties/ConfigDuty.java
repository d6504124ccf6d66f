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
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.EventLog;
import org.bergamotcross.kernel.PluginContext;

/**
 * Applies the log to the configuration, publishes it to the other duties, and maintains the
 * membership of this instance.
 */
final class ConfigDuty implements DutyHandler<ConfigMessage> {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  // The review takes time proportional to the number of members, and freshness is a matter of
  // seconds.
  private static final Duration REVIEW_INTERVAL = Duration.ofMillis(200);
  private static final Duration INSTANCE_LIST_INTERVAL = Duration.ofSeconds(1);

  private final Member self;
  private final PluginContext context;
  private final EventLog events;
  private final PlatformClient client;
  private final PeerExchange exchange;
  private final Consumer<ConfigMessage> ring;
  private final Consumer<Status> statusReceiver;
  private final ConfigurationFold fold = new ConfigurationFold(TeamSettingsParser.contentParser());
  private final LogReader reader = new LogReader(fold);
  private final LogFollower follower;
  private final MembershipManager membership;
  private final FreshnessTracker freshness;
  private final CatchUpPolicy catchUp = new CatchUpPolicy();
  private final RecentRecordBuffer recentRecords = new RecentRecordBuffer();
  private final LeavingTargetTracker leavingTargetTracker = new LeavingTargetTracker();
  private final Meter readFailures;
  private final Timer publishTime;
  private Set<TargetId> leavingTargets = Set.of();
  private Optional<Freshness> publishedFreshness = Optional.empty();
  private Optional<ClockReading> headConfirmedAt = Optional.empty();
  private Optional<ClockReading> nextReviewAt = Optional.empty();
  private Optional<ClockReading> nextInstanceListAt = Optional.empty();
  private boolean scanningReported;

  ConfigDuty(
      Member self,
      PluginContext context,
      PlatformClient client,
      PeerExchange exchange,
      Consumer<ConfigMessage> ring,
      Consumer<Status> statusReceiver) {
    this.self = self;
    this.context = context;
    this.events = context.events();
    this.client = client;
    this.exchange = exchange;
    this.ring = ring;
    this.statusReceiver = statusReceiver;
    this.follower = new LogFollower(client, reader, ring);
    this.membership = new MembershipManager(self, client, ring, events);
    this.freshness = new FreshnessTracker(self);
    this.readFailures = context.metrics().meter("config.read-failures");
    this.publishTime = context.metrics().timer("config.publish");
  }

  @Override
  public void onMessage(ConfigMessage message, ClockReading now) {
    switch (message) {
      case ConfigMessage.LogReadCompleted read -> onReadCompleted(read, now);
      case ConfigMessage.AppendCompleted append -> onAppendCompleted(append);
      case ConfigMessage.InstanceListReadCompleted read -> onInstanceList(read.result(), now);
      case ConfigMessage.HeartbeatsEchoed heartbeats ->
          heartbeats.echoed().echoes().forEach(echo -> onHeartbeatEcho(echo, now));
      case ConfigMessage.CatchUpMessageReceived received ->
          onCatchUpMessage(received.from(), received.message(), now);
      case ConfigMessage.ShutdownStarted ignored -> membership.onShutdown();
    }
  }

  @Override
  public Duration onTick(ClockReading now) {
    follower.startReadIfDue(now);
    requestCatchUpIfDue(now);
    if (nextReviewAt.isEmpty() || !now.isBefore(nextReviewAt.get())) {
      nextReviewAt = Optional.of(now.plus(REVIEW_INTERVAL));
      review(now);
    }
    return TICK_INTERVAL;
  }

  private void review(ClockReading now) {
    readInstanceListIfDue(now);
    membership.appendDueRecords(fold, isAtHead(now), now);
    freshness.removeSilentPeers(fold.members(), now);
    catchUp.retainPeers(freshness.peerOffsets().keySet());
    publishFreshnessAndStatus(now);
  }

  // Records are appended only on top of a state that was recently at the head of the log; an older
  // state may be superseded.
  private boolean isAtHead(ClockReading now) {
    return headConfirmedAt.isPresent()
        && now.since(headConfirmedAt.get()).compareTo(FreshnessTracker.CONFIRMATION_VALIDITY) < 0;
  }

  private void onReadCompleted(ConfigMessage.LogReadCompleted read, ClockReading now) {
    follower.onReadCompleted(read, now);
    switch (read.result()) {
      case ReadResult.Page page -> applyPage(page, read, now);
      case ReadResult.NotRetained notRetained ->
          reader.handleOffsetOutOfRange(notRetained.earliest());
      case ReadResult.Unavailable unavailable -> readFailures.mark();
    }
    reportScanningChange();
    follower.startReadIfDue(now);
    publishFreshnessAndStatus(now);
  }

  private void applyPage(
      ReadResult.Page page, ConfigMessage.LogReadCompleted read, ClockReading now) {
    membership.onEarliestOffset(page.earliest());
    boolean full = page.records().size() >= LogFollower.MAX_PAGE_RECORDS;
    LogReader.PageResult result =
        reader.applyPage(
            new LogReader.Page(
                read.from(),
                page.earliest(),
                page.next(),
                LogFollower.decodeRecords(page.records()),
                full));
    applySteps(result.steps(), page.records(), now);
    if (result.atHead()) {
      headConfirmedAt = Optional.of(read.sentAt());
      freshness.recordLogHead(read.sentAt(), fold.offset(), now);
    }
  }

  private void applySteps(List<LogReader.Step> steps, List<LogRecord> records, ClockReading now) {
    boolean advanced = false;
    for (LogReader.Step step : steps) {
      advanced |= advancesOffset(step.result());
      step.changedMembership()
          .ifPresent(members -> context.publish(Broadcasts.CONFIGURATION, members));
      reportStep(step, now);
      records.stream()
          .filter(record -> record.offset() == step.offset() && advancesOffset(step.result()))
          .forEach(recentRecords::add);
    }
    if (advanced) {
      publishConfiguration();
    }
  }

  private static boolean advancesOffset(FoldResult result) {
    return !(result instanceof FoldResult.AlreadyFolded) && !(result instanceof FoldResult.Gap);
  }

  private void publishConfiguration() {
    publishTime.time(() -> context.publish(Broadcasts.CONFIGURATION, fold.configuration()));
  }

  private void reportStep(LogReader.Step step, ClockReading now) {
    switch (step.result()) {
      case FoldResult.Accepted accepted -> reportAccepted(step.offset(), accepted.record(), now);
      case FoldResult.Unchanged unchanged -> {
        if (unchanged.record() instanceof ControlRecord.Snapshot snapshot) {
          membership.onSnapshot(snapshot.state().upTo(), now);
        }
      }
      case FoldResult.Conflict conflict ->
          refusedEvent(step, "conflict")
              .with("winner", conflict.winner().map(w -> w.editId()))
              .with("winner-author", conflict.winner().map(w -> w.author()))
              .with("winner-offset", conflict.winner().map(w -> w.offset()))
              .emit();
      case FoldResult.Invalid invalid ->
          refusedEvent(step, "invalid").with("problem", invalid.problems().get(0)).emit();
      case FoldResult.Duplicate duplicate ->
          refusedEvent(step, "duplicate").with("first", duplicate.first().offset()).emit();
      case FoldResult.AlreadyFolded known -> {}
      case FoldResult.Gap gap ->
          events
              .event("config.gap")
              .with("offset", step.offset())
              .with("expected", gap.expected())
              .emit();
    }
  }

  private EventLog.Event refusedEvent(LogReader.Step step, String reason) {
    return events.event("config.refused").with("offset", step.offset()).with("reason", reason);
  }

  private void reportAccepted(long offset, ControlRecord record, ClockReading now) {
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
        membership.onSnapshot(snapshot.state().upTo(), now);
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

  private void reportScanningChange() {
    if (reader.isScanning() != scanningReported) {
      scanningReported = reader.isScanning();
      events
          .event(scanningReported ? "config.scanning" : "config.following")
          .with("offset", fold.offset())
          .emit();
    }
  }

  private void onAppendCompleted(ConfigMessage.AppendCompleted append) {
    EventLog.Event event = events.event("config.append").with("purpose", append.purpose().name());
    switch (append.result()) {
      case AppendResult.Appended appended -> {
        reader.recordAppend(appended.offset());
        event.with("offset", appended.offset());
      }
      case AppendResult.Refused refused -> event.with("refused", refused.reason());
      case AppendResult.Unavailable unavailable -> event.with("failed", unavailable.reason());
      case AppendResult.OutcomeUnknown unknown -> event.with("unknown", unknown.reason());
    }
    event.emit();
  }

  private void readInstanceListIfDue(ClockReading now) {
    if (nextInstanceListAt.isPresent() && now.isBefore(nextInstanceListAt.get())) {
      return;
    }
    nextInstanceListAt = Optional.of(now.plus(INSTANCE_LIST_INTERVAL));
    client
        .listInstances()
        .thenAccept(result -> ring.accept(new ConfigMessage.InstanceListReadCompleted(result)));
  }

  private void onInstanceList(ListResult result, ClockReading now) {
    if (!(result instanceof ListResult.Listed listed)) {
      return;
    }
    Set<InstanceId> instances =
        listed.instances().stream()
            .filter(instance -> instance.kind() == PlatformInstance.Kind.ENTRY)
            .map(instance -> new InstanceId(instance.id()))
            .collect(Collectors.toSet());
    membership.onInstanceList(instances, fold.members());
    Set<TargetId> next = leavingTargetTracker.update(listed.instances(), fold.configuration(), now);
    if (!next.equals(leavingTargets)) {
      leavingTargets = next;
      events.event("targets.leaving").with("targets", next).emit();
      context.publish(Broadcasts.LEAVING_TARGETS, new Broadcasts.LeavingTargets(next));
    }
  }

  private void onHeartbeatEcho(Broadcasts.HeartbeatEcho echo, ClockReading now) {
    InstanceId peer = echo.peer().id();
    freshness.recordEcho(peer, echo.peer().incarnation(), echo.heartbeatSentAt(), echo.offset());
    membership.onHeartbeatEcho(peer, echo.heartbeatSentAt());
    catchUp.recordOffset(peer, echo.offset());
    if (echo.offset() > fold.offset()) {
      requestCatchUpIfDue(now);
    }
  }

  private void requestCatchUpIfDue(ClockReading now) {
    catchUp
        .nextRequest(fold.offset(), now)
        .ifPresent(
            request -> {
              switch (request) {
                case CatchUpPolicy.Request.ForRecords records ->
                    exchange.send(
                        records.peer(),
                        CatchUpMessage.RECORDS_REQUEST_KIND,
                        new CatchUpMessage.RecordsRequest(fold.offset() + 1));
                case CatchUpPolicy.Request.ForSnapshot snapshot ->
                    exchange.send(
                        snapshot.peer(),
                        CatchUpMessage.SNAPSHOT_REQUEST_KIND,
                        new CatchUpMessage.SnapshotRequest(fold.offset()));
              }
            });
  }

  private void onCatchUpMessage(Sender from, CatchUpMessage message, ClockReading now) {
    switch (message) {
      case CatchUpMessage.RecordsRequest request ->
          exchange.send(
              from.id(),
              CatchUpMessage.RECORDS_RESPONSE_KIND,
              recentRecords.readFrom(request.from(), fold.offset()));
      case CatchUpMessage.SnapshotRequest request -> {
        if (fold.offset() > request.above()) {
          byte[] record = ControlRecordCodec.encode(new ControlRecord.Snapshot(fold.state()));
          exchange.send(
              from.id(),
              CatchUpMessage.SNAPSHOT_RESPONSE_KIND,
              new CatchUpMessage.SnapshotResponse(Base64.getEncoder().encodeToString(record)));
        }
      }
      case CatchUpMessage.RecordsResponse records -> applyPeerRecords(from, records, now);
      case CatchUpMessage.SnapshotResponse snapshot -> adoptPeerSnapshot(from, snapshot, now);
    }
  }

  private void applyPeerRecords(
      Sender from, CatchUpMessage.RecordsResponse response, ClockReading now) {
    List<LogRecord> records =
        response.records().stream()
            .flatMap(
                entry ->
                    decodeBase64(entry.data()).map(d -> new LogRecord(entry.offset(), d)).stream())
            .toList();
    long before = fold.offset();
    applySteps(reader.applyPeerRecords(LogFollower.decodeRecords(records)), records, now);
    catchUp.recordResponse(from.id(), fold.offset() > before);
    requestCatchUpIfDue(now);
    publishFreshnessAndStatus(now);
  }

  private void adoptPeerSnapshot(
      Sender from, CatchUpMessage.SnapshotResponse response, ClockReading now) {
    Optional<ControlRecordCodec.Decoded> decoded =
        decodeBase64(response.record()).map(ControlRecordCodec::decode);
    if (decoded.isPresent()
        && decoded.get() instanceof ControlRecordCodec.Decoded.Valid understood
        && understood.record() instanceof ControlRecord.Snapshot snapshot
        && reader.applyPeerSnapshot(snapshot.state()) instanceof FoldResult.Accepted) {
      events.event("config.adopted").with("peer", from.id()).with("offset", fold.offset()).emit();
      catchUp.recordResponse(from.id(), true);
      publishConfiguration();
      publishFreshnessAndStatus(now);
    }
  }

  private static Optional<byte[]> decodeBase64(String text) {
    try {
      return Optional.of(Base64.getDecoder().decode(text));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private void publishFreshnessAndStatus(ClockReading now) {
    Freshness next =
        freshness
            .evaluate(fold.members(), fold.offset(), now)
            .map(c -> new Freshness(c.validUntil(), toSource(c.source())))
            .orElseGet(() -> new Freshness(now, Freshness.Source.NONE));
    if (publishedFreshness.isEmpty() || isConfirmedChange(publishedFreshness.get(), next)) {
      publishedFreshness = Optional.of(next);
      context.publish(Broadcasts.FRESHNESS, next);
    }
    statusReceiver.accept(buildStatus(publishedFreshness.get()));
  }

  private static boolean isConfirmedChange(Freshness old, Freshness next) {
    return next.source() != Freshness.Source.NONE && !next.equals(old);
  }

  private static Freshness.Source toSource(FreshnessTracker.Source source) {
    return switch (source) {
      case LOG -> Freshness.Source.LOG;
      case PEERS -> Freshness.Source.PEERS;
    };
  }

  private Status buildStatus(Freshness current) {
    return new Status(
        self.id(),
        self.incarnation(),
        fold.offset(),
        reader.isScanning(),
        fold.versions(),
        fold.members(),
        current,
        freshness.peerOffsets());
  }
}
