package org.bergamotcross.entry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.SettingsResult;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a planned stop that cuts requests before the platform ends the grace period, or
 * that is killed in the middle of its refusals.
 */
class ShutdownScheduleTest {
  private static ShutdownSchedule schedule(String stopSection) {
    SettingsResult result =
        Settings.parse(
            "entry.ini",
            "[stop]\n" + stopSection,
            List.of(
                EntrySettings.STOP_ACCEPT_MS,
                EntrySettings.STOP_LIMIT_MS,
                EntrySettings.STOP_GRACE),
            List.of());
    return ShutdownSchedule.of(((SettingsResult.Loaded) result).settings());
  }

  @Nested
  class Limit {
    @Test
    void followsTheGracePeriod() {
      assertThat(schedule("limit-ms = 600000\ngrace = 6s").limit())
          .isEqualTo(Duration.ofMillis(5_400));
      assertThat(schedule("limit-ms = 600000\ngrace = 10000ms").limit())
          .isEqualTo(Duration.ofMillis(9_400));
    }

    @Test
    void isTheConfiguredOneWithoutGracePeriod() {
      assertThat(schedule("limit-ms = 1500").limit()).isEqualTo(Duration.ofMillis(1_500));
      assertThat(schedule("").limit()).isEqualTo(Duration.ofSeconds(30));
    }
  }

  @Property(tries = 300, seed = "21")
  void leavesTimeForOpenRequestsAndForTheExit(
      @ForAll @IntRange(min = 500, max = 120_000) int graceMillis,
      @ForAll @IntRange(min = 0, max = 60_000) int acceptMillis) {
    ShutdownSchedule times =
        schedule(
            String.format(
                Locale.ROOT,
                "accept-ms = %d%nlimit-ms = 600000%ngrace = %.3fs",
                acceptMillis,
                graceMillis / 1_000.0));
    assertThat(times.limit()).isLessThan(Duration.ofMillis(graceMillis));
    assertThat(times.limit().multipliedBy(2)).isAtLeast(Duration.ofMillis(graceMillis));
    assertThat(times.accept().multipliedBy(2)).isAtMost(times.limit());
    assertThat(times.accept()).isAtMost(Duration.ofMillis(acceptMillis));
    // Five sixths of the grace period belong to requests that were accepted before the stop.
    if (graceMillis >= 6_000) {
      assertThat(times.limit().multipliedBy(6)).isAtLeast(Duration.ofMillis(graceMillis * 5L));
    }
  }
}
