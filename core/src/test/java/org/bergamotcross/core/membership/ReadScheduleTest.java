package org.bergamotcross.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
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

  @Nested
  class Relays {
    private static final int FLEET = 40;
    private static final int RELAYS = 8;

    private final RelayView relays =
        new RelayView(
            IntStream.range(0, RELAYS)
                .mapToObj(i -> new Member(id(3 * i), 1, new FailureDomain("d" + i % 4), "h"))
                .toList());

    private ReadSchedule schedule(int index) {
      return new ReadSchedule(id(index));
    }

    /** Returns the view of an instance in a part of the fleet: relays are linked to all others. */
    private PeerView view(int self, RelayView selected, Set<Integer> part) {
      boolean isRelay = selected.contains(id(self));
      return new PeerView(
          part.stream()
              .filter(i -> i != self && (isRelay || selected.contains(id(i))))
              .map(ReadScheduleTest::id)
              .collect(Collectors.toSet()),
          selected);
    }

    private Set<Integer> firstReaders(RelayView selected, Set<Integer> part) {
      return part.stream()
          .filter(i -> schedule(i).rank(view(i, selected, part)) == 0)
          .collect(Collectors.toSet());
    }

    private Set<Integer> all() {
      return IntStream.range(0, FLEET).boxed().collect(Collectors.toSet());
    }

    // Guards against a read by every instance that sees no others but relays.
    @Test
    void haveOneFirstReader() {
      assertThat(firstReaders(relays, all())).containsExactly(0);
    }

    // Guards against readers in a fleet cut in two that all wait for one in the other part.
    @Test
    void haveOneFirstReaderInEachPart() {
      Set<Integer> part = all().stream().filter(i -> i >= 10).collect(Collectors.toSet());
      Set<Integer> rest = all().stream().filter(i -> i < 10).collect(Collectors.toSet());
      assertThat(firstReaders(relays, part)).containsExactly(12);
      assertThat(firstReaders(relays, rest)).containsExactly(0);
    }

    // Guards against 130 small instances that read at once because one relay was late.
    @Test
    void readBeforeAllOthers() {
      ClockReading lastReadAt = ClockReading.ofMillis(10_000);
      for (int reachable = 1; reachable <= RELAYS; reachable++) {
        Set<Integer> part =
            IntStream.range(0, FLEET)
                .filter(i -> i % 3 != 0)
                .boxed()
                .collect(Collectors.toCollection(HashSet::new));
        IntStream.range(0, reachable).forEach(i -> part.add(3 * i));
        ClockReading latestRelay = lastReadAt;
        ClockReading latestPoll = lastReadAt;
        for (int i = 0; i < reachable; i++) {
          PeerView view = view(3 * i, relays, part);
          latestRelay = latest(latestRelay, schedule(3 * i).dueAt(view, lastReadAt));
          latestPoll = latest(latestPoll, schedule(3 * i).longPollDueAt(view, lastReadAt));
        }
        PeerView leafView = view(1, relays, part);
        assertThat(schedule(1).dueAt(leafView, lastReadAt).isAfter(latestRelay)).isTrue();
        assertThat(schedule(1).longPollDueAt(leafView, lastReadAt).isAfter(latestPoll)).isTrue();
        Duration untilPoll = schedule(1).longPollDueAt(leafView, lastReadAt).since(lastReadAt);
        assertThat(untilPoll).isAtMost(Duration.ofMillis(1_500));
      }
    }

    private ClockReading latest(ClockReading one, ClockReading other) {
      return one.isAfter(other) ? one : other;
    }

    // Guards against a poll that goes on beside that of a relay, and against one that stops for an
    // instance that reads later.
    @Test
    void precedeAllOthersInTheirOrder() {
      PeerView leafView = view(1, relays, all());
      assertThat(schedule(1).isPreceding(leafView, id(21))).isTrue();
      assertThat(schedule(21).isPreceding(view(21, relays, all()), id(1))).isFalse();
      assertThat(schedule(3).isPreceding(view(3, relays, all()), id(0))).isTrue();
      assertThat(schedule(0).isPreceding(view(0, relays, all()), id(3))).isFalse();
      assertThat(schedule(1).isPreceding(leafView, id(2)))
          .isEqualTo(schedule(1).isPreceding(PeerView.NONE, id(2)));
    }
  }
}
