package org.bergamotcross.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.bergamotcross.kernel.Now;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against expulsions and snapshots that come too early, too late or from all at once. */
class MembershipPoliciesTest {
  private static final Members MEMBERS = members("a", "b", "c", "d", "e");

  private static Members members(String... ids) {
    return new Members(
        0,
        Stream.of(ids)
            .map(id -> new Member(new InstanceId(id), 1, new FailureDomain("d"), "127.0.0.1:1"))
            .toList());
  }

  private static Now at(long millis) {
    return Now.ofMillis(millis);
  }

  private static Set<InstanceId> ids(String... ids) {
    return Set.copyOf(Stream.of(ids).map(InstanceId::new).toList());
  }

  /** One instance that hears some of the others every 500 ms. */
  private static final class Watcher {
    final InstanceId self;
    final PeerWatch watch;
    final ExpulsionPolicy policy;
    long now;

    Watcher(String id) {
      self = new InstanceId(id);
      watch = new PeerWatch(self);
      policy = new ExpulsionPolicy(self);
    }

    /** Returns when the first member is proposed, or nothing within the given time. */
    Optional<Long> hear(long untilMillis, String... heard) {
      for (; now <= untilMillis; now += 500) {
        for (String id : heard) {
          watch.echoed(new InstanceId(id), at(now));
        }
        watch.update(MEMBERS, at(now));
        List<Member> proposed = policy.propose(MEMBERS, watch, at(now));
        if (!proposed.isEmpty()) {
          return Optional.of(now);
        }
      }
      return Optional.empty();
    }
  }

  @Nested
  class Expulsion {
    @Test
    void comesAfterTenSecondsOfSilence() {
      Watcher watcher = new Watcher("a");
      assertThat(watcher.hear(5_000, "b", "c", "d", "e")).isEmpty();
      assertThat(watcher.hear(20_000, "b", "c", "d")).isEqualTo(Optional.of(15_000L));
    }

    // Both sides of a partition hear silence; only the larger one may act on it.
    @Test
    void isNotProposedByAMinority() {
      Watcher watcher = new Watcher("a");
      assertThat(watcher.hear(5_000, "b", "c", "d", "e")).isEmpty();
      assertThat(watcher.hear(60_000, "b")).isEmpty();
    }

    @Test
    void isProposedByTheNextRankAfterADelay() {
      Watcher watcher = new Watcher("b");
      watcher.hear(5_000, "a", "c", "d", "e");
      assertThat(watcher.hear(60_000, "a", "c", "d")).isEqualTo(Optional.of(17_000L));
    }

    // Otherwise an instance that was paused would expel all others when it resumes.
    @Test
    void doesNotCountTheSilenceDuringAPause() {
      Watcher watcher = new Watcher("a");
      watcher.hear(5_000, "b", "c", "d", "e");
      watcher.now = 65_000;
      assertThat(watcher.hear(74_000, "b", "c")).isEmpty();
      assertThat(watcher.hear(90_000, "b", "c")).isEqualTo(Optional.of(75_000L));
    }

    @Test
    void comesSoonerWhenTheListNoLongerShowsTheMember() {
      Watcher watcher = new Watcher("a");
      watcher.policy.listed(ids("a", "b", "c", "d", "e"), MEMBERS);
      watcher.hear(5_000, "b", "c", "d", "e");
      watcher.policy.listed(ids("a", "b", "c", "d"), MEMBERS);
      assertThat(watcher.hear(20_000, "b", "c", "d")).isEqualTo(Optional.of(8_000L));
    }

    // The list lags: a member that it has never shown is new, and one that answers is alive.
    @Test
    void isNotProposedBecauseTheListLags() {
      Watcher watcher = new Watcher("a");
      watcher.policy.listed(ids("a", "b", "c", "d"), MEMBERS);
      watcher.hear(5_000, "b", "c", "d", "e");
      watcher.policy.listed(ids("a", "c"), MEMBERS);
      assertThat(watcher.hear(60_000, "b", "c", "d", "e")).isEmpty();
    }

    // A partition between two instances only must not change the epoch every few seconds.
    @Test
    void waitsLongerEachTime() {
      Watcher watcher = new Watcher("a");
      watcher.hear(5_000, "b", "c", "d", "e");
      assertThat(watcher.hear(60_000, "b", "c", "d")).isEqualTo(Optional.of(15_000L));
      watcher.now += 500;
      assertThat(watcher.hear(60_000, "b", "c", "d")).isEqualTo(Optional.of(25_000L));
    }
  }

  @Nested
  class Snapshots {
    private final SnapshotPolicy policy = new SnapshotPolicy();

    @Test
    void areWrittenBeforeANeededRecordLeavesTheRetention() {
      policy.snapshotSeen(99, at(0));
      policy.retained(60);
      assertThat(policy.isDue(139, 0, at(0))).isFalse();
      policy.retained(70);
      assertThat(policy.isDue(149, 0, at(0))).isTrue();
    }

    @Test
    void areWrittenWhenTheRetentionIsUnknown() {
      assertThat(policy.isDue(SnapshotPolicy.MAX_RECORDS - 2, 0, at(0))).isFalse();
      assertThat(policy.isDue(SnapshotPolicy.MAX_RECORDS - 1, 0, at(0))).isTrue();
    }

    @Test
    void areRepeatedAfterAnHour() {
      policy.snapshotSeen(3, at(0));
      assertThat(policy.isDue(4, 0, at(3_599_000))).isFalse();
      assertThat(policy.isDue(4, 0, at(3_600_000))).isTrue();
    }

    @Test
    void areWrittenByTheNextRankOnlyWhenTheFirstDoesNot() {
      assertThat(policy.isDue(300, 1, at(0))).isFalse();
      assertThat(policy.isDue(300, 1, at(4_900))).isFalse();
      assertThat(policy.isDue(300, 1, at(5_000))).isTrue();
      assertThat(policy.isDue(300, 1, at(5_100))).isFalse();
      policy.snapshotSeen(300, at(5_200));
      assertThat(policy.isDue(301, 1, at(60_000))).isFalse();
    }

    // A snapshot is a record itself; a small retention must not lead to one after the other.
    @Test
    void areNotWrittenBecauseOfASnapshotAlone() {
      policy.retained(10);
      assertThat(policy.isDue(9, 0, at(0))).isTrue();
      policy.snapshotSeen(9, at(100));
      assertThat(policy.isDue(10, 0, at(60_000))).isFalse();
    }
  }

  @Nested
  class CatchingUp {
    private final CatchUpPolicy policy = new CatchUpPolicy();
    private final InstanceId first = new InstanceId("b");
    private final InstanceId second = new InstanceId("c");

    @Test
    void asksNobodyWhenNobodyIsAhead() {
      policy.echoed(first, 7);
      assertThat(policy.next(7, at(10_000))).isEmpty();
    }

    @Test
    void asksThePeerThatIsAheadAfterAGraceTime() {
      policy.echoed(first, 8);
      assertThat(policy.next(7, at(0))).isEmpty();
      assertThat(policy.next(7, at(200)))
          .isEqualTo(Optional.of(new CatchUpPolicy.Ask.ForRecords(first)));
    }

    // One peer that does not answer must not keep the instance behind.
    @Test
    void asksTheNextPeerWhenAnAnswerIsMissing() {
      policy.echoed(first, 8);
      policy.echoed(second, 8);
      policy.next(7, at(0));
      policy.next(7, at(200));
      assertThat(policy.next(7, at(400))).isEmpty();
      assertThat(policy.next(7, at(700)))
          .isEqualTo(Optional.of(new CatchUpPolicy.Ask.ForRecords(second)));
    }

    @Test
    void asksForTheStateWhenRecordsAreNoLongerKept() {
      policy.echoed(first, 8);
      policy.next(7, at(0));
      policy.next(7, at(200));
      policy.answered(first, false);
      assertThat(policy.next(7, at(700)))
          .isEqualTo(Optional.of(new CatchUpPolicy.Ask.ForSnapshot(first)));
    }
  }
}
