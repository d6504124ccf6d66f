package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.bergamotcross.core.config.ConfigurationFold;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.core.membership.ExpulsionPolicy;
import org.bergamotcross.core.membership.FailureDetector;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.core.membership.SnapshotPolicy;
import org.bergamotcross.entry.duties.ConfigMessage.AppendPurpose;
import org.bergamotcross.entry.platform.ControlRecordCodec;
import org.bergamotcross.entry.platform.PlatformClient;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.EventLog;

/**
 * Appends the records that this instance contributes to the log: its membership, expulsions of
 * silent members, and snapshots.
 */
final class MembershipManager {
  // Leaves time to read back a record whose append response was lost, before it is appended again.
  private static final Duration APPEND_RETRY_DELAY = Duration.ofSeconds(2);
  // Two processes with the same id would replace each other forever; the delay doubles each time up
  // to this limit.
  private static final Duration MAX_JOIN_RETRY_DELAY = Duration.ofMinutes(1);

  private final Member self;
  private final PlatformClient client;
  private final Consumer<ConfigMessage> ring;
  private final EventLog events;
  private final FailureDetector failureDetector;
  private final ExpulsionPolicy expulsions;
  private final SnapshotPolicy snapshots = new SnapshotPolicy();
  private final Map<AppendPurpose, ClockReading> nextAt = new EnumMap<>(AppendPurpose.class);
  private Duration joinRetryDelay = APPEND_RETRY_DELAY;
  private boolean shuttingDown;

  MembershipManager(
      Member self, PlatformClient client, Consumer<ConfigMessage> ring, EventLog events) {
    this.self = self;
    this.client = client;
    this.ring = ring;
    this.events = events;
    this.failureDetector = new FailureDetector(self.id());
    this.expulsions = new ExpulsionPolicy(self.id());
  }

  void onHeartbeatEcho(InstanceId peer, ClockReading heartbeatSentAt) {
    failureDetector.recordEcho(peer, heartbeatSentAt);
  }

  void onInstanceList(Set<InstanceId> listed, Members members) {
    expulsions.recordListing(listed, members);
  }

  void onEarliestOffset(long earliest) {
    snapshots.recordOldestRetained(earliest);
  }

  void onSnapshot(long upTo, ClockReading now) {
    snapshots.recordSnapshot(upTo, now);
  }

  void onShutdown() {
    shuttingDown = true;
  }

  /**
   * Appends the records that are due.
   *
   * @param fold the current state
   * @param atHead whether the log was recently read up to its head
   * @param now the current time
   */
  void appendDueRecords(ConfigurationFold fold, boolean atHead, ClockReading now) {
    failureDetector.update(fold.members(), now);
    if (shuttingDown) {
      leave(fold.members(), now);
    } else if (atHead) {
      join(fold.members(), now);
      expel(fold.members(), now);
      snapshot(fold, now);
    }
  }

  private void join(Members members, ClockReading now) {
    if (members.find(self.id()).equals(Optional.of(self))) {
      return;
    }
    if (isDue(AppendPurpose.JOIN, now)) {
      append(AppendPurpose.JOIN, new ControlRecord.Join(self), now);
      nextAt.put(AppendPurpose.JOIN, now.plus(joinRetryDelay));
      Duration doubled = joinRetryDelay.multipliedBy(2);
      joinRetryDelay = doubled.compareTo(MAX_JOIN_RETRY_DELAY) < 0 ? doubled : MAX_JOIN_RETRY_DELAY;
    }
  }

  private void leave(Members members, ClockReading now) {
    boolean member =
        members.find(self.id()).filter(m -> m.incarnation() == self.incarnation()).isPresent();
    if (member && isDue(AppendPurpose.LEAVE, now)) {
      append(AppendPurpose.LEAVE, new ControlRecord.Leave(self.id(), self.incarnation()), now);
    }
  }

  private void expel(Members members, ClockReading now) {
    for (Member member : expulsions.propose(members, failureDetector, now)) {
      events
          .event("member.expulsion-proposed")
          .with("member", member.id())
          .with("incarnation", member.incarnation())
          .with("silence-ms", failureDetector.silenceOf(member.id(), now).toMillis())
          .emit();
      append(AppendPurpose.EXPEL, new ControlRecord.Expel(member.id(), member.incarnation()), now);
    }
  }

  private void snapshot(ConfigurationFold fold, ClockReading now) {
    Optional<Integer> rank = failureDetector.rank(fold.members(), now);
    if (rank.isPresent() && snapshots.isDue(fold.offset(), rank.get(), now)) {
      append(AppendPurpose.SNAPSHOT, new ControlRecord.Snapshot(fold.state()), now);
    }
  }

  private boolean isDue(AppendPurpose purpose, ClockReading now) {
    ClockReading at = nextAt.get(purpose);
    return at == null || !now.isBefore(at);
  }

  private void append(AppendPurpose purpose, ControlRecord record, ClockReading now) {
    nextAt.put(purpose, now.plus(APPEND_RETRY_DELAY));
    client
        .append(PlatformClient.CONTROL_STREAM, ControlRecordCodec.encode(record))
        .thenAccept(result -> ring.accept(new ConfigMessage.AppendCompleted(purpose, result)));
  }
}
