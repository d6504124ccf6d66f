package org.bergamotcross.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Verifies which share of the requests a pool with too little room serves. */
class PoolPressureTest {
  private static final int SLOTS = 10;
  private static final int URGENT = 0;
  private static final int OTHER = 2;

  private static ClockReading at(long millis) {
    return ClockReading.ofMillis(1_000_000 + millis);
  }

  /** Reports a demand of slots by priority for some time, with responses on time. */
  private static PoolPressure withDemand(Map<Integer, Long> slotsByPriority, int seconds) {
    PoolPressure pressure = new PoolPressure(SLOTS, at(0));
    for (int millis = 100; millis <= seconds * 1_000; millis += 100) {
      Map<Integer, Long> demand = new HashMap<>();
      slotsByPriority.forEach((priority, slots) -> demand.put(priority, slots * 100));
      pressure.add(new PoolReport(4, 0, 400, 0, demand), at(millis));
    }
    return pressure;
  }

  @Nested
  class Shares {
    // Guards against refusals while the pool has room.
    @Test
    void areFullWhileTheDemandFits() {
      PoolPressure pressure = withDemand(Map.of(URGENT, 3L, OTHER, 4L), 5);
      assertThat(pressure.share(URGENT)).isEqualTo(1);
      assertThat(pressure.share(OTHER)).isEqualTo(1);
    }

    // Guards against a less urgent priority that is served better than a more urgent one.
    @Test
    void areReducedForTheLeastUrgentFirst() {
      PoolPressure pressure = withDemand(Map.of(URGENT, 6L, OTHER, 8L), 5);
      assertThat(pressure.share(URGENT)).isEqualTo(1);
      assertThat(pressure.share(OTHER)).isWithin(0.1).of(0.5);
    }

    // Guards against instances that count on slots of targets that fail.
    @Test
    void followTheTargetsThatWork() {
      PoolPressure pressure = new PoolPressure(SLOTS, at(0));
      pressure.updateSoundSlots(SLOTS / 2.0);
      for (int millis = 100; millis <= 5_000; millis += 100) {
        pressure.add(new PoolReport(4, 0, 400, 0, Map.of(URGENT, 1_000L)), at(millis));
      }
      assertThat(pressure.share(URGENT)).isWithin(0.06).of(0.5);
    }
  }

  @Nested
  class Waiting {
    // Guards against a room that stays at the slots while targets are slow and reject requests.
    @Test
    void lowersTheRoomToTheCompletedWork() {
      PoolPressure pressure = new PoolPressure(SLOTS, at(0));
      for (int millis = 100; millis <= 10_000; millis += 100) {
        pressure.add(new PoolReport(4, 3, 400, 1, Map.of(URGENT, 800L)), at(millis));
      }
      assertThat(pressure.isLimited()).isTrue();
      assertThat(pressure.room().size()).isWithin(0.5).of(4.2);
      assertThat(pressure.share(URGENT)).isWithin(0.1).of(0.5);
    }

    // Guards against a pool that refuses requests for long after its targets have recovered.
    @Test
    void isForgottenWithinSeconds() {
      PoolPressure pressure = new PoolPressure(SLOTS, at(0));
      for (int millis = 100; millis <= 10_000; millis += 100) {
        pressure.add(new PoolReport(4, 3, 400, 1, Map.of(URGENT, 800L)), at(millis));
      }
      for (int millis = 10_100; millis <= 14_000; millis += 100) {
        pressure.add(new PoolReport(8, 0, 800, 0, Map.of(URGENT, 800L)), at(millis));
      }
      assertThat(pressure.share(URGENT)).isEqualTo(1);
    }

    // Guards against a verdict from a single slow response.
    @Test
    void needsSeveralResponses() {
      PoolPressure pressure = new PoolPressure(SLOTS, at(0));
      pressure.add(new PoolReport(1, 1, 400, 0, Map.of()), at(100));
      assertThat(pressure.isWaiting()).isFalse();
    }

    @Test
    void isMeasuredByTheSmallestSlack() {
      PoolPressure pressure = new PoolPressure(SLOTS, at(0));
      pressure.recordSlack("slow", Duration.ofSeconds(3));
      pressure.recordSlack("fast", Duration.ofMillis(600));
      assertThat(pressure.isTooLong(Duration.ofMillis(500))).isFalse();
      assertThat(pressure.isTooLong(Duration.ofMillis(700))).isTrue();
    }
  }

  @Nested
  class Shedding {
    private static final Duration TIME_LEFT = Duration.ofSeconds(3);

    private final ShedPolicy policy = new ShedPolicy(RandomSource.XO_RO_SHI_RO_128_PP.create(5));

    private int sent(String organisation, double share, int requests) {
      int sent = 0;
      for (int i = 0; i < requests; i++) {
        if (policy.decide(share, new OrganisationId(organisation), 1, TIME_LEFT)
            instanceof ShedPolicy.Decision.Send) {
          sent++;
        }
      }
      return sent;
    }

    // Guards against an organisation that gets a smaller share because it sends less.
    @Test
    void servesTheSameShareOfEachOrganisation() {
      assertThat(sent("team/large", 0.6, 500)).isAnyOf(299, 300, 301);
      assertThat(sent("team/small", 0.6, 5)).isAnyOf(2, 3, 4);
    }

    @Test
    void refusesNothingWhileThereIsRoom() {
      assertThat(sent("team/one", 1, 100)).isEqualTo(100);
    }

    // Guards against callers that are told to return after they have given up, or all at once.
    @Test
    void spreadsReturnsOverTheTimeInWhichCallersComeBack() {
      Set<Duration> delays = new HashSet<>();
      for (int i = 0; i < 50; i++) {
        if (policy.decide(0, new OrganisationId("team/one"), 1, TIME_LEFT)
            instanceof ShedPolicy.Decision.Refuse refuse) {
          assertThat(refuse.retryAfter()).isAtMost(TIME_LEFT.dividedBy(3));
          delays.add(refuse.retryAfter());
        }
      }
      assertThat(delays.size()).isGreaterThan(40);
    }
  }

  @Nested
  class Usual {
    // Guards against queues at targets that are taken for the usual duration.
    @Test
    void staysNearTheServiceTimeWhileRequestsWait() {
      UsualDuration usual = new UsualDuration();
      for (int i = 0; i < 50; i++) {
        usual.record("r", Duration.ofMillis(180 + i % 5 * 10));
      }
      for (int i = 0; i < 20; i++) {
        usual.record("r", Duration.ofSeconds(1));
      }
      assertThat(usual.of("r").orElseThrow()).isLessThan(Duration.ofMillis(260));
    }
  }
}
