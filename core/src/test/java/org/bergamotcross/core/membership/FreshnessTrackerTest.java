package org.bergamotcross.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.stream.Stream;
import org.bergamotcross.core.membership.FreshnessTracker.Source;
import org.bergamotcross.kernel.ClockReading;
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

  private static ClockReading at(long millis) {
    return ClockReading.ofMillis(millis);
  }

  private void echoFrom(String peer, long sentAt, long offset) {
    tracker.recordEcho(new InstanceId(peer), 1, at(sentAt), offset);
  }

  private boolean isFresh(long offset, long now) {
    return tracker
        .evaluate(FIVE, offset, at(now))
        .filter(confirmation -> at(now).isBefore(confirmation.validUntil()))
        .isPresent();
  }

  @Nested
  class Log {
    // Guards against counting from the arrival of a late answer, which may show the log as of the
    // request.
    @Test
    void isValidFromTheTimeOfTheRead() {
      tracker.recordLogHead(at(1_000), 7, at(2_500));
      assertThat(tracker.evaluate(FIVE, 7, at(2_500)))
          .isEqualTo(Optional.of(new FreshnessTracker.Confirmation(at(4_000), Source.LOG)));
      assertThat(isFresh(7, 4_000)).isFalse();
    }

    // A stale page can look like the head of the log; a higher offset at a peer disproves it.
    @Test
    void doesNotCountWhileAPeerIsAhead() {
      echoFrom("b", 900, 8);
      tracker.recordLogHead(at(1_000), 7, at(1_100));
      assertThat(isFresh(7, 1_100)).isFalse();
      tracker.recordLogHead(at(1_200), 8, at(1_300));
      assertThat(isFresh(8, 1_300)).isTrue();
    }
  }

  @Nested
  class Peers {
    @Test
    void countWithAMajority() {
      echoFrom("b", 1_000, 7);
      assertThat(isFresh(7, 1_100)).isFalse();
      echoFrom("c", 800, 5);
      assertThat(isFresh(7, 1_100)).isTrue();
      assertThat(isFresh(7, 3_800)).isFalse();
    }

    @Test
    void doNotCountWhenOneIsAhead() {
      echoFrom("b", 1_000, 7);
      echoFrom("c", 1_000, 7);
      echoFrom("d", 1_000, 8);
      assertThat(isFresh(7, 1_100)).isFalse();
      assertThat(isFresh(8, 1_100)).isTrue();
    }

    // Otherwise the failure of the only instance that has read a record would stop all others.
    @Test
    void countAgainWhenThePeerAheadHasFailed() {
      echoFrom("d", 1_000, 8);
      echoFrom("b", 4_500, 7);
      echoFrom("c", 4_500, 7);
      assertThat(isFresh(7, 4_600)).isTrue();
    }

    @Test
    void doNotCountUnlessTheyAreMembers() {
      echoFrom("x", 1_000, 7);
      echoFrom("y", 1_000, 7);
      echoFrom("c", 1_000, 7);
      assertThat(isFresh(7, 1_100)).isFalse();
    }

    // A restarted process has lost what a majority may have learned through it.
    @Test
    void doNotCountAfterARestartUntilTheyAreMembersAgain() {
      echoFrom("b", 1_000, 7);
      tracker.recordEcho(new InstanceId("c"), 2, at(1_000), 7);
      assertThat(isFresh(7, 1_100)).isFalse();
    }

    @Test
    void mustBeAMajorityByThemselvesAfterARestartOfTheLocalInstance() {
      FreshnessTracker restarted =
          new FreshnessTracker(new Member(SELF.id(), 2, SELF.failureDomain(), SELF.peerAddress()));
      restarted.recordEcho(new InstanceId("b"), 1, at(1_000), 7);
      restarted.recordEcho(new InstanceId("c"), 1, at(1_000), 7);
      assertThat(restarted.evaluate(FIVE, 7, at(1_100))).isEmpty();
      restarted.recordEcho(new InstanceId("d"), 1, at(1_000), 7);
      assertThat(restarted.evaluate(FIVE, 7, at(1_100))).isPresent();
    }
  }

  @Nested
  class Pause {
    // After a pause the instance receives answers that were sent while it could not react to
    // changes.
    @Test
    void invalidatesBufferedAnswers() {
      tracker.recordLogHead(at(1_000), 7, at(1_000));
      echoFrom("b", 1_000, 7);
      echoFrom("c", 1_000, 7);
      tracker.recordLogHead(at(1_000), 7, at(60_000));
      assertThat(isFresh(7, 60_000)).isFalse();
    }
  }

  @Nested
  class WallClock {
    @Test
    void hasNoEffectOnTheValidity() {
      tracker.recordLogHead(
          new ClockReading(1_000_000_000L, 500_000), 7, new ClockReading(1_000_000_000L, 500_000));
      ClockReading later = new ClockReading(3_900_000_000L, 9_000);
      assertThat(later.isBefore(tracker.evaluate(FIVE, 7, later).get().validUntil())).isTrue();
      ClockReading tooLate = new ClockReading(4_000_000_000L, 9_000);
      assertThat(tooLate.isBefore(tracker.evaluate(FIVE, 7, tooLate).get().validUntil())).isFalse();
    }
  }
}
