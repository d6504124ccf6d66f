package org.bergamotcross.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetNoticesTest {
  private static final ClockReading NOW = ClockReading.ofMillis(1_000);
  private static final TargetId ID = new TargetId("t1");

  private final TargetNotices notices = new TargetNotices(Fixtures.random(5));

  private static Target startedAt(long millis) {
    return new Target(ID, "10.0.0.1", 80, Fixtures.domain(0), millis);
  }

  private boolean isLeaving(Target target, ClockReading now) {
    return notices.notice(target, now).filter(TargetNotice.Leaving.class::isInstance).isPresent();
  }

  @Nested
  class Leaving {
    // Guards against new work for a leaving target once some time has passed.
    @Test
    void doesNotEndWithTime() {
      notices.onLeaving(startedAt(500), NOW);
      assertThat(isLeaving(startedAt(500), NOW.plus(Duration.ofHours(5)))).isTrue();
    }

    // Guards against a list entry of an earlier start that brings a leaving target back.
    @Test
    void endsWithALaterStartOnly() {
      notices.onLeaving(startedAt(500), NOW);
      assertThat(isLeaving(startedAt(400), NOW)).isTrue();
      assertThat(isLeaving(startedAt(501), NOW)).isFalse();
    }

    // Guards against a late message of a peer that puts a restarted target out of use.
    @Test
    void ofAnEarlierStartIsIgnored() {
      assertThat(notices.onLeaving(startedAt(900), NOW)).isTrue();
      assertThat(notices.onLeaving(ID, 500, NOW)).isFalse();
      assertThat(isLeaving(startedAt(900), NOW)).isTrue();
      assertThat(notices.leavingStarts()).containsExactly(ID, 900L);
    }

    @Test
    void isNewOnce() {
      assertThat(notices.onLeaving(startedAt(500), NOW)).isTrue();
      assertThat(notices.onLeaving(startedAt(500), NOW)).isFalse();
    }

    // Guards against a target that is never used again where restarts can't be recognized.
    @Test
    void endsAfterAMinuteWithoutAKnownStart() {
      notices.onLeaving(startedAt(0), NOW);
      assertThat(isLeaving(startedAt(0), NOW.plus(Duration.ofSeconds(59)))).isTrue();
      assertThat(isLeaving(startedAt(0), NOW.plus(Duration.ofSeconds(60)))).isFalse();
    }
  }

  @Nested
  class Pause {
    private Optional<ClockReading> end(ClockReading now) {
      return notices
          .notice(startedAt(500), now)
          .map(notice -> ((TargetNotice.Paused) notice).until());
    }

    // Guards against a short rejection that cancels the long pause of an earlier one.
    @Test
    void isNotShortenedByALaterRejection() {
      notices.onRejected(ID, Optional.of(Duration.ofSeconds(8)), NOW);
      notices.onRejected(ID, Optional.empty(), NOW);
      assertThat(end(NOW).orElseThrow()).isAtLeast(NOW.plus(Duration.ofSeconds(8)));
    }

    // Guards against a target that a nonsensical value takes out of use for good.
    @Test
    void isBounded() {
      notices.onRejected(ID, Optional.of(Duration.ofDays(400)), NOW);
      ClockReading latest = NOW.plus(TargetNotices.MAX_PAUSE).plus(TargetNotices.MAX_PAUSE_SPREAD);
      assertThat(end(NOW).orElseThrow()).isAtMost(latest);
      assertThat(end(latest)).isEmpty();
    }
  }

  @Property(tries = 200, seed = "7")
  void pausesLastAsLongAsRequestedAndEndSpread(
      @ForAll @LongRange(min = 1, max = 300_000) long millis, @ForAll long seed) {
    TargetNotices any = new TargetNotices(Fixtures.random(seed));
    Duration requested = Duration.ofMillis(millis);
    any.onRejected(ID, Optional.of(requested), NOW);
    ClockReading end = ((TargetNotice.Paused) any.notice(startedAt(1), NOW).orElseThrow()).until();
    assertThat(end).isAtLeast(NOW.plus(requested));
    assertThat(end).isAtMost(NOW.plus(requested).plus(TargetNotices.MAX_PAUSE_SPREAD));
  }
}
