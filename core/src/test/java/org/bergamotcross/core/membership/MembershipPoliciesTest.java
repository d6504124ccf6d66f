package org.bergamotcross.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against expulsions, snapshots and catch-up requests that are issued too early, too late,
 * or by all instances at once.
 */
class MembershipPoliciesTest {
  private static final Members MEMBERS = members("a", "b", "c", "d", "e");

  private static Members members(String... ids) {
    return new Members(
        0,
        Stream.of(ids)
            .map(id -> new Member(new InstanceId(id), 1, new FailureDomain("d"), "127.0.0.1:1"))
            .toList());
  }

  private static ClockReading at(long millis) {
    return ClockReading.ofMillis(millis);
  }

  private static Set<InstanceId> ids(String... ids) {
    return Set.copyOf(Stream.of(ids).map(InstanceId::new).toList());
  }

  /** An instance that receives echoes from some of the others every 500 ms. */
  private static final class ObservingInstance {
    final InstanceId self;
    final FailureDetector detector;
    final ExpulsionPolicy policy;
    long now;

    ObservingInstance(String id) {
      self = new InstanceId(id);
      detector = new FailureDetector(self);
      policy = new ExpulsionPolicy(self);
    }

    /** Advances the time until a member is proposed; returns that time, or empty at the end. */
    Optional<Long> runUntilProposal(long untilMillis, String... echoing) {
      for (; now <= untilMillis; now += 500) {
        for (String id : echoing) {
          detector.recordEcho(new InstanceId(id), at(now));
        }
        detector.update(MEMBERS, at(now));
        List<Member> proposed = policy.propose(MEMBERS, detector, at(now));
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
    void isProposedAfterTenSecondsOfSilence() {
      ObservingInstance observer = new ObservingInstance("a");
      assertThat(observer.runUntilProposal(5_000, "b", "c", "d", "e")).isEmpty();
      assertThat(observer.runUntilProposal(20_000, "b", "c", "d")).isEqualTo(Optional.of(15_000L));
    }

    // Both sides of a partition observe silence; only the majority side may act on it.
    @Test
    void isNotProposedByAMinority() {
      ObservingInstance observer = new ObservingInstance("a");
      assertThat(observer.runUntilProposal(5_000, "b", "c", "d", "e")).isEmpty();
      assertThat(observer.runUntilProposal(60_000, "b")).isEmpty();
    }

    @Test
    void isProposedByTheNextRankAfterADelay() {
      ObservingInstance observer = new ObservingInstance("b");
      observer.runUntilProposal(5_000, "a", "c", "d", "e");
      assertThat(observer.runUntilProposal(60_000, "a", "c", "d")).isEqualTo(Optional.of(17_000L));
    }

    // Otherwise an instance that was paused would expel all others when it resumes.
    @Test
    void ignoresSilenceDuringAPause() {
      ObservingInstance observer = new ObservingInstance("a");
      observer.runUntilProposal(5_000, "b", "c", "d", "e");
      observer.now = 65_000;
      assertThat(observer.runUntilProposal(74_000, "b", "c")).isEmpty();
      assertThat(observer.runUntilProposal(90_000, "b", "c")).isEqualTo(Optional.of(75_000L));
    }

    @Test
    void isProposedSoonerWhenTheDirectoryNoLongerListsTheMember() {
      ObservingInstance observer = new ObservingInstance("a");
      observer.policy.recordListing(ids("a", "b", "c", "d", "e"), MEMBERS);
      observer.runUntilProposal(5_000, "b", "c", "d", "e");
      observer.policy.recordListing(ids("a", "b", "c", "d"), MEMBERS);
      assertThat(observer.runUntilProposal(20_000, "b", "c", "d")).isEqualTo(Optional.of(8_000L));
    }

    // The directory lags behind: a member that it has never listed is new, and one that answers is
    // alive.
    @Test
    void isNotProposedBecauseTheDirectoryLags() {
      ObservingInstance observer = new ObservingInstance("a");
      observer.policy.recordListing(ids("a", "b", "c", "d"), MEMBERS);
      observer.runUntilProposal(5_000, "b", "c", "d", "e");
      observer.policy.recordListing(ids("a", "c"), MEMBERS);
      assertThat(observer.runUntilProposal(60_000, "b", "c", "d", "e")).isEmpty();
    }

    // A partition between only two instances must not change the epoch every few seconds.
    @Test
    void isDelayedLongerEachTime() {
      ObservingInstance observer = new ObservingInstance("a");
      observer.runUntilProposal(5_000, "b", "c", "d", "e");
      assertThat(observer.runUntilProposal(60_000, "b", "c", "d")).isEqualTo(Optional.of(15_000L));
      observer.now += 500;
      assertThat(observer.runUntilProposal(60_000, "b", "c", "d")).isEqualTo(Optional.of(25_000L));
    }
  }

  @Nested
  class Snapshots {
    private final SnapshotPolicy policy = new SnapshotPolicy();

    @Test
    void areWrittenBeforeANeededRecordExpires() {
      policy.recordSnapshot(99, at(0));
      policy.recordOldestRetained(60);
      assertThat(policy.isDue(139, 0, at(0))).isFalse();
      policy.recordOldestRetained(70);
      assertThat(policy.isDue(149, 0, at(0))).isTrue();
    }

    @Test
    void areWrittenWhenTheRetentionIsUnknown() {
      assertThat(policy.isDue(SnapshotPolicy.MAX_RECORDS_SINCE_SNAPSHOT - 2, 0, at(0))).isFalse();
      assertThat(policy.isDue(SnapshotPolicy.MAX_RECORDS_SINCE_SNAPSHOT - 1, 0, at(0))).isTrue();
    }

    @Test
    void areRepeatedAfterAnHour() {
      policy.recordSnapshot(3, at(0));
      assertThat(policy.isDue(4, 0, at(3_599_000))).isFalse();
      assertThat(policy.isDue(4, 0, at(3_600_000))).isTrue();
    }

    @Test
    void areWrittenByTheNextRankOnlyWhenTheFirstDoesNot() {
      assertThat(policy.isDue(300, 1, at(0))).isFalse();
      assertThat(policy.isDue(300, 1, at(4_900))).isFalse();
      assertThat(policy.isDue(300, 1, at(5_000))).isTrue();
      assertThat(policy.isDue(300, 1, at(5_100))).isFalse();
      policy.recordSnapshot(300, at(5_200));
      assertThat(policy.isDue(301, 1, at(60_000))).isFalse();
    }

    // A snapshot is itself a record; with a small retention each one must not trigger the next.
    @Test
    void areNotWrittenBecauseOfASnapshotAlone() {
      policy.recordOldestRetained(10);
      assertThat(policy.isDue(9, 0, at(0))).isTrue();
      policy.recordSnapshot(9, at(100));
      assertThat(policy.isDue(10, 0, at(60_000))).isFalse();
    }
  }

  @Nested
  class CatchingUp {
    private final CatchUpPolicy policy = new CatchUpPolicy();
    private final InstanceId first = new InstanceId("b");
    private final InstanceId second = new InstanceId("c");

    @Test
    void requestsNothingWhenNoPeerIsAhead() {
      policy.recordOffset(first, 7);
      assertThat(policy.nextRequest(7, at(10_000))).isEmpty();
    }

    @Test
    void requestsRecordsFromThePeerAheadAfterADelay() {
      policy.recordOffset(first, 8);
      assertThat(policy.nextRequest(7, at(0))).isEmpty();
      assertThat(policy.nextRequest(7, at(200)))
          .isEqualTo(Optional.of(new CatchUpPolicy.Request.ForRecords(first)));
    }

    // A peer that does not answer must not block catching up.
    @Test
    void requestsFromTheNextPeerAfterATimeout() {
      policy.recordOffset(first, 8);
      policy.recordOffset(second, 8);
      policy.nextRequest(7, at(0));
      policy.nextRequest(7, at(200));
      assertThat(policy.nextRequest(7, at(400))).isEmpty();
      assertThat(policy.nextRequest(7, at(700)))
          .isEqualTo(Optional.of(new CatchUpPolicy.Request.ForRecords(second)));
    }

    @Test
    void requestsASnapshotWhenThePeerLacksTheRecords() {
      policy.recordOffset(first, 8);
      policy.nextRequest(7, at(0));
      policy.nextRequest(7, at(200));
      policy.recordResponse(first, false);
      assertThat(policy.nextRequest(7, at(700)))
          .isEqualTo(Optional.of(new CatchUpPolicy.Request.ForSnapshot(first)));
    }
  }
}
