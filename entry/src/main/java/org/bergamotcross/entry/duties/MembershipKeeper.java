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
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.core.membership.PeerWatch;
import org.bergamotcross.core.membership.SnapshotPolicy;
import org.bergamotcross.entry.duties.ConfigInput.Purpose;
import org.bergamotcross.entry.platform.ControlRecordCodec;
import org.bergamotcross.entry.platform.PlatformClient;
import org.bergamotcross.kernel.EventLog;
import org.bergamotcross.kernel.Now;

/** Appends what this instance has to say: its membership, expulsions and snapshots. */
final class MembershipKeeper {
  // An append whose answer was lost is read back within this time, before it is repeated.
  private static final Duration REPEAT_DELAY = Duration.ofSeconds(2);
  // Two processes with one id would replace each other for ever; each time they wait longer.
  private static final Duration MAX_REPEAT_DELAY = Duration.ofMinutes(1);

  private final Member self;
  private final PlatformClient client;
  private final Consumer<ConfigInput> ring;
  private final EventLog events;
  private final PeerWatch watch;
  private final ExpulsionPolicy expulsions;
  private final SnapshotPolicy snapshots = new SnapshotPolicy();
  private final Map<Purpose, Now> nextAt = new EnumMap<>(Purpose.class);
  private Duration joinDelay = REPEAT_DELAY;
  private boolean stopping;

  MembershipKeeper(
      Member self, PlatformClient client, Consumer<ConfigInput> ring, EventLog events) {
    this.self = self;
    this.client = client;
    this.ring = ring;
    this.events = events;
    this.watch = new PeerWatch(self.id());
    this.expulsions = new ExpulsionPolicy(self.id());
  }

  void echoed(InstanceId peer, Now beatSentAt) {
    watch.echoed(peer, beatSentAt);
  }

  void listed(Set<InstanceId> listed, Members members) {
    expulsions.listed(listed, members);
  }

  void retained(long earliest) {
    snapshots.retained(earliest);
  }

  void snapshotSeen(long upTo, Now now) {
    snapshots.snapshotSeen(upTo, now);
  }

  void stop() {
    stopping = true;
  }

  /**
   * Appends what is due.
   *
   * @param fold the state
   * @param atHead whether the log was read up to its head a short time ago
   * @param now the present time
   */
  void act(ConfigurationFold fold, boolean atHead, Now now) {
    watch.update(fold.members(), now);
    if (stopping) {
      leave(fold.members(), now);
    } else if (atHead) {
      join(fold.members(), now);
      expel(fold.members(), now);
      snapshot(fold, now);
    }
  }

  private void join(Members members, Now now) {
    if (members.find(self.id()).equals(Optional.of(self))) {
      return;
    }
    if (isDue(Purpose.JOIN, now)) {
      append(Purpose.JOIN, new ControlRecord.Join(self), now);
      nextAt.put(Purpose.JOIN, now.plus(joinDelay));
      Duration doubled = joinDelay.multipliedBy(2);
      joinDelay = doubled.compareTo(MAX_REPEAT_DELAY) < 0 ? doubled : MAX_REPEAT_DELAY;
    }
  }

  private void leave(Members members, Now now) {
    boolean member =
        members.find(self.id()).filter(m -> m.incarnation() == self.incarnation()).isPresent();
    if (member && isDue(Purpose.LEAVE, now)) {
      append(Purpose.LEAVE, new ControlRecord.Leave(self.id(), self.incarnation()), now);
    }
  }

  private void expel(Members members, Now now) {
    for (Member member : expulsions.propose(members, watch, now)) {
      events
          .event("member.expulsion-proposed")
          .with("member", member.id())
          .with("incarnation", member.incarnation())
          .with("silence-ms", watch.silence(member.id(), now).toMillis())
          .emit();
      append(Purpose.EXPEL, new ControlRecord.Expel(member.id(), member.incarnation()), now);
    }
  }

  private void snapshot(ConfigurationFold fold, Now now) {
    Optional<Integer> rank = watch.rank(fold.members(), now);
    if (rank.isPresent() && snapshots.isDue(fold.offset(), rank.get(), now)) {
      append(Purpose.SNAPSHOT, new ControlRecord.Snapshot(fold.state()), now);
    }
  }

  private boolean isDue(Purpose purpose, Now now) {
    Now at = nextAt.get(purpose);
    return at == null || !now.isBefore(at);
  }

  private void append(Purpose purpose, ControlRecord record, Now now) {
    nextAt.put(purpose, now.plus(REPEAT_DELAY));
    client
        .append(PlatformClient.CONTROL_STREAM, ControlRecordCodec.encode(record))
        .thenAccept(result -> ring.accept(new ConfigInput.AppendEnded(purpose, result)));
  }
}
