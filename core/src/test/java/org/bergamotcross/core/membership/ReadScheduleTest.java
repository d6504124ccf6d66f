package org.bergamotcross.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against redundant reads, and against missing ones after readers have failed. */
class ReadScheduleTest {
  private static final int INSTANCES = 18;
  private static final int STEP_MS = 10;

  private static InstanceId id(int index) {
    return new InstanceId("entry-" + index);
  }

  private static PeerView peersOf(int self) {
    Set<InstanceId> others = new HashSet<>();
    for (int i = 0; i < INSTANCES; i++) {
      if (i != self) {
        others.add(id(i));
      }
    }
    return new PeerView(others);
  }

  /**
   * Simulates the fleet and returns the times of successful reads in ms; some instances are always
   * rejected.
   */
  private static List<Integer> reads(Set<Integer> rejected, int untilMs) {
    List<Integer> reads = new ArrayList<>();
    ClockReading lastReadAt = ClockReading.ofMillis(0);
    for (int nowMillis = 0; nowMillis < untilMs; nowMillis += STEP_MS) {
      ClockReading now = ClockReading.ofMillis(nowMillis);
      for (int i = 0; i < INSTANCES; i++) {
        boolean due = !now.isBefore(new ReadSchedule(id(i)).dueAt(peersOf(i), lastReadAt));
        if (due && !rejected.contains(i)) {
          reads.add(nowMillis);
          lastReadAt = now;
        }
      }
    }
    return reads;
  }

  private static int rank(int index) {
    return new ReadSchedule(id(index)).rank(peersOf(index));
  }

  @Nested
  class HealthyFleet {
    // Guards against a billed read by every instance instead of one for the fleet.
    @Test
    void readsOncePerInterval() {
      int maxReads = (int) (10_000 / ReadSchedule.READ_INTERVAL.toMillis());
      assertThat(reads(Set.of(), 10_000).size()).isAtMost(maxReads);
    }
  }

  @Nested
  class RejectedReaders {
    // Guards against a draining target that stays unknown for 2 s, because the first readers are
    // rejected.
    @Test
    void areReplacedBeforeADrainingTargetMustBeKnown() {
      Set<Integer> first = new HashSet<>();
      for (int i = 0; i < INSTANCES; i++) {
        if (rank(i) < 6) {
          first.add(i);
        }
      }
      List<Integer> reads = reads(first, 10_000);
      int previousMillis = 0;
      for (int read : reads) {
        assertThat(read - previousMillis).isAtMost((int) Duration.ofMillis(1_500).toMillis());
        previousMillis = read;
      }
      assertThat(reads).isNotEmpty();
    }

    // Guards against new settings that stay unknown for 2 s, whichever instances get no results.
    @Test
    void ofLongPollsAreReplacedBeforeNewSettingsMustBeKnown() {
      ClockReading lastResultAt = ClockReading.ofMillis(10_000);
      for (int i = 0; i < INSTANCES; i++) {
        ClockReading due = new ReadSchedule(id(i)).longPollDueAt(peersOf(i), lastResultAt);
        assertThat(due.since(lastResultAt)).isAtMost(Duration.ofMillis(1_500));
      }
    }

    // Guards against several instances that poll beside a first reader that succeeds.
    @Test
    void ofLongPollsAreNotReplacedWhileResultsArrive() {
      ClockReading lastResultAt = ClockReading.ofMillis(10_000);
      ClockReading nextResultAt = lastResultAt.plus(ReadSchedule.LONG_POLL_TIMEOUT);
      for (int i = 0; i < INSTANCES; i++) {
        ClockReading due = new ReadSchedule(id(i)).longPollDueAt(peersOf(i), lastResultAt);
        if (rank(i) == 0) {
          assertThat(due).isEqualTo(lastResultAt);
        } else {
          assertThat(due.isAfter(nextResultAt)).isTrue();
        }
      }
    }
  }
}
