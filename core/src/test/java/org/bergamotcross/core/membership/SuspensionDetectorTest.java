package org.bergamotcross.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against suspensions of the machine that go undetected, or are detected without one. */
class SuspensionDetectorTest {
  private final SuspensionDetector detector = new SuspensionDetector();

  private Duration pause(long monotonicMillis, long wallMillis) {
    return detector.detectPause(new ClockReading(monotonicMillis * 1_000_000, wallMillis));
  }

  @Nested
  class Suspension {
    @Test
    void isDetectedOnce() {
      assertThat(pause(1_000, 50_000)).isEqualTo(Duration.ZERO);
      assertThat(pause(1_010, 53_010)).isEqualTo(Duration.ofSeconds(3));
      assertThat(pause(1_020, 53_020)).isEqualTo(Duration.ZERO);
    }
  }

  @Nested
  class OrdinaryReadings {
    @Test
    void showNoSuspension() {
      assertThat(pause(1_000, 50_000)).isEqualTo(Duration.ZERO);
      assertThat(pause(9_000, 58_150)).isEqualTo(Duration.ZERO);
    }

    @Test
    void withABackwardStepShowNoSuspension() {
      assertThat(pause(1_000, 50_000)).isEqualTo(Duration.ZERO);
      assertThat(pause(1_010, 48_000)).isEqualTo(Duration.ZERO);
    }
  }
}
