package org.bergamotcross.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.stream.Stream;
import org.bergamotcross.core.membership.FreshnessTracker.Source;
import org.bergamotcross.kernel.Now;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against instances that act on a configuration that may no longer be in force. */
class FreshnessTrackerTest {
  private static final Member SELF = member("a");
  private static final Members FIVE = members("a", "b", "c", "d", "e");
  private final FreshnessTracker tracker = new FreshnessTracker(SELF);

  private static Members members(String... ids) {
    return new Members(0, Stream.of(ids).map(FreshnessTrackerTest::member).toList());
  }

  private static Member member(String id) {
    return new Member(new InstanceId(id), 1, new FailureDomain("d"), "127.0.0.1:1");
  }

  private static Now at(long millis) {
    return Now.ofMillis(millis);
  }

  private void echo(String peer, long sentAt, long offset) {
    tracker.echoed(new InstanceId(peer), 1, at(sentAt), offset);
  }

  private boolean isFresh(long offset, long now) {
    return tracker
        .evaluate(FIVE, offset, at(now))
        .filter(confirmation -> at(now).isBefore(confirmation.validUntil()))
        .isPresent();
  }

  @Nested
  class Log {
    // The answer of a long read arrives late; what it shows is as old as its question may be.
    @Test
    void countsFromTheTimeOfTheRead() {
      tracker.logConfirmed(at(1_000), 7, at(2_500));
      assertThat(tracker.evaluate(FIVE, 7, at(2_500)))
          .isEqualTo(Optional.of(new FreshnessTracker.Confirmation(at(4_000), Source.LOG)));
      assertThat(isFresh(7, 4_000)).isFalse();
    }

    // An old page can look like the head, but not to an instance whose peer has more.
    @Test
    void doesNotCountWhileAPeerIsAhead() {
      echo("b", 900, 8);
      tracker.logConfirmed(at(1_000), 7, at(1_100));
      assertThat(isFresh(7, 1_100)).isFalse();
      tracker.logConfirmed(at(1_200), 8, at(1_300));
      assertThat(isFresh(8, 1_300)).isTrue();
    }
  }

  @Nested
  class Peers {
    @Test
    void countWithAMajority() {
      echo("b", 1_000, 7);
      assertThat(isFresh(7, 1_100)).isFalse();
      echo("c", 800, 5);
      assertThat(isFresh(7, 1_100)).isTrue();
      assertThat(isFresh(7, 3_800)).isFalse();
    }

    @Test
    void doNotCountWhenOneIsAhead() {
      echo("b", 1_000, 7);
      echo("c", 1_000, 7);
      echo("d", 1_000, 8);
      assertThat(isFresh(7, 1_100)).isFalse();
      assertThat(isFresh(8, 1_100)).isTrue();
    }

    // Otherwise the death of the one instance that has read a record stops all others.
    @Test
    void countAgainWhenTheOneAheadIsGone() {
      echo("d", 1_000, 8);
      echo("b", 4_500, 7);
      echo("c", 4_500, 7);
      assertThat(isFresh(7, 4_600)).isTrue();
    }

    @Test
    void doNotCountWhenTheyAreNoMembers() {
      echo("x", 1_000, 7);
      echo("y", 1_000, 7);
      echo("c", 1_000, 7);
      assertThat(isFresh(7, 1_100)).isFalse();
    }

    // A restarted process has forgotten what a majority may have known through it.
    @Test
    void doNotCountAfterARestartUntilTheyAreMembersAgain() {
      echo("b", 1_000, 7);
      tracker.echoed(new InstanceId("c"), 2, at(1_000), 7);
      assertThat(isFresh(7, 1_100)).isFalse();
    }

    @Test
    void haveToBeMoreWhenTheInstanceItselfHasRestarted() {
      FreshnessTracker restarted =
          new FreshnessTracker(new Member(SELF.id(), 2, SELF.failureDomain(), SELF.peerAddress()));
      restarted.echoed(new InstanceId("b"), 1, at(1_000), 7);
      restarted.echoed(new InstanceId("c"), 1, at(1_000), 7);
      assertThat(restarted.evaluate(FIVE, 7, at(1_100))).isEmpty();
      restarted.echoed(new InstanceId("d"), 1, at(1_000), 7);
      assertThat(restarted.evaluate(FIVE, 7, at(1_100))).isPresent();
    }
  }

  @Nested
  class Pause {
    // After a pause the instance reads answers that were sent while it could not act on changes.
    @Test
    void makesBufferedAnswersWorthless() {
      tracker.logConfirmed(at(1_000), 7, at(1_000));
      echo("b", 1_000, 7);
      echo("c", 1_000, 7);
      tracker.logConfirmed(at(1_000), 7, at(60_000));
      assertThat(isFresh(7, 60_000)).isFalse();
    }
  }

  @Nested
  class WallClock {
    @Test
    void mayStepWithoutAnEffect() {
      tracker.logConfirmed(new Now(1_000_000_000L, 500_000), 7, new Now(1_000_000_000L, 500_000));
      Now later = new Now(3_900_000_000L, 9_000);
      assertThat(later.isBefore(tracker.evaluate(FIVE, 7, later).get().validUntil())).isTrue();
      Now tooLate = new Now(4_000_000_000L, 9_000);
      assertThat(tooLate.isBefore(tracker.evaluate(FIVE, 7, tooLate).get().validUntil())).isFalse();
    }
  }
}
