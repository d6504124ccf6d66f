package org.bergamotcross.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a bucket that grants more than its fraction of the rate, or never grants any. */
class DelegatedBucketTest {
  private static final Organisation LIMIT = new Organisation(new OrganisationId("o"), 10, 20);
  private static final int MANY = 1_000;

  private final DelegatedBucket bucket =
      new DelegatedBucket(LIMIT, RateTolerance.NONE, ClockReading.ofMillis(0));

  private void hold(double fraction, int millis) {
    bucket.resize(LIMIT, fraction, ClockReading.ofMillis(millis));
  }

  @Nested
  class Start {
    // A bucket that started full would allow an extra burst at each change of holders.
    @Test
    void isEmpty() {
      hold(1, 0);
      assertThat(bucket.take(MANY, ClockReading.ofMillis(0))).isEqualTo(0);
      assertThat(bucket.take(MANY, ClockReading.ofMillis(500))).isEqualTo(5);
    }
  }

  @Nested
  class Fractions {
    @Test
    void fillAndLimitTheBucket() {
      hold(0.5, 0);
      assertThat(bucket.take(MANY, ClockReading.ofMillis(400))).isEqualTo(2);
      assertThat(bucket.take(MANY, ClockReading.ofMillis(60_000))).isEqualTo(10);
    }

    // A fraction that was lost and regained must not be credited for the time in between.
    @Test
    void areCreditedAtTheSmallerOneSinceTheLastChange() {
      hold(1, 0);
      hold(0.1, 1_000);
      hold(1, 1_000);
      assertThat(bucket.take(MANY, ClockReading.ofMillis(1_000))).isEqualTo(1);
    }

    @Test
    void thatShrinkTakeTokensAway() {
      hold(1, 0);
      hold(1, 60_000);
      hold(0.1, 60_000);
      assertThat(bucket.take(MANY, ClockReading.ofMillis(60_000))).isEqualTo(2);
    }

    @Test
    void ofZeroGrantNothing() {
      hold(1, 0);
      hold(0, 60_000);
      assertThat(bucket.take(MANY, ClockReading.ofMillis(120_000))).isEqualTo(0);
    }
  }

  @Nested
  class Grants {
    // Granted tokens may be used after the window in which they were granted.
    @Test
    void countAgainstTheBurstUntilTheyExpire() {
      hold(1, 0);
      assertThat(bucket.grant(MANY, ClockReading.ofMillis(60_200), ClockReading.ofMillis(60_000)))
          .isEqualTo(20);
      assertThat(bucket.take(MANY, ClockReading.ofMillis(60_199))).isEqualTo(0);
      assertThat(bucket.take(MANY, ClockReading.ofMillis(60_700))).isEqualTo(5);
    }
  }

  @Nested
  class SmallFractions {
    private static final int WINDOW_MS = 5_000;

    // A bucket with a burst below one token would never grant any.
    @Test
    void holdOneTokenWithinTheTokensOfTheWindow() {
      hold(0.04, 0);
      int taken = 0;
      for (int at = 0; at <= 60_000; at += 10) {
        taken += bucket.take(1, ClockReading.ofMillis(at));
      }
      double windowTokens = 0.04 * (LIMIT.rate() * WINDOW_MS / 1_000 + LIMIT.burst());
      assertThat(taken).isAtLeast(20);
      assertThat((double) taken).isAtMost(windowTokens * (60_000.0 / WINDOW_MS + 1));
    }

    @Test
    void belowOneTokenPerWindowHoldNone() {
      hold(0.01, 0);
      assertThat(bucket.take(MANY, ClockReading.ofMillis(600_000))).isEqualTo(0);
      assertThat(bucket.millisToNextToken(ClockReading.ofMillis(600_000)))
          .isEqualTo(Long.MAX_VALUE);
    }
  }

  @Nested
  class Tolerance {
    @Test
    void isHalfUsed() {
      RateTolerance tolerance = new RateTolerance(Duration.ofSeconds(5), 0.1, 6);
      assertThat(tolerance.toleratedBurst(LIMIT)).isWithin(1e-9).of(20 + (7 + 6) / 2.0);
    }
  }
}
