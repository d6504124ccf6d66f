package org.bergamotcross.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks how the requests of one pool are distributed by failure risk, load and locality. */
class LowestRiskChoiceTest {
  private static final HealthView HEALTHY = new HealthView(Map.of());
  private static final int SIZE = 12;
  private static final Pool POOL = Fixtures.pool(SIZE, 0);

  private final FailureRisk risks = new FailureRisk();
  private final PoolLoad load = new PoolLoad();
  private final TargetChooser chooser =
      new TargetChooser(
          Fixtures.domain(0),
          new InFlightCounts(),
          risks,
          load,
          new TargetNotices(Fixtures.random(4)),
          Fixtures.random(3));
  private ClockReading now = ClockReading.ofMillis(0);

  /**
   * Returns how many of 1,200 requests each target gets. They end immediately and are not recorded.
   */
  private Map<TargetId, Integer> countChoicesByTarget() {
    Map<TargetId, Integer> counts = new HashMap<>();
    for (int i = 0; i < 1_200; i++) {
      TargetChoice choice = chooser.choose(POOL, HEALTHY, false, Optional.empty(), now);
      counts.merge(((TargetChoice.Chosen) choice).target().id(), 1, Integer::sum);
    }
    return counts;
  }

  private void recordSuccesses(int from, int to) {
    for (int i = from; i < to; i++) {
      for (int n = 0; n < 5; n++) {
        risks.recordSuccess(Fixtures.id(i), now);
      }
    }
  }

  @Nested
  class FailingTargets {
    // Guards against requests for a target that has just failed while healthy ones have capacity.
    @Test
    void getNoRequestsWhileOthersHaveCapacity() {
      recordSuccesses(0, SIZE);
      risks.recordFailure(Fixtures.id(4), now);
      risks.recordFailure(Fixtures.id(4), now);
      assertThat(countChoicesByTarget()).doesNotContainKey(Fixtures.id(4));
    }

    // Guards against a pool whose requests are all refused because all its targets have failed.
    @Test
    void areUsedWhenNearlyAllFail() {
      for (int i = 0; i < SIZE; i++) {
        risks.recordFailure(Fixtures.id(i), now);
      }
      assertThat(countChoicesByTarget().size()).isAtLeast(4);
    }
  }

  @Nested
  class Load {
    // Guards against a few healthy targets that get all requests and shed them.
    @Test
    void isSpreadOverAtLeastHalfOfThePool() {
      recordSuccesses(0, 2);
      now = now.plus(Duration.ofSeconds(1));
      assertThat(countChoicesByTarget().size()).isAtLeast(SIZE / 2);
    }

    // Guards against the same under a load that exceeds the capacity of half of the pool.
    @Test
    void isSpreadOverAsManyTargetsAsItNeeds() {
      recordSuccesses(0, 6);
      for (int i = 0; i < SIZE; i++) {
        load.recordCompletions(Fixtures.id(i), 30, now);
      }
      load.recordDuration(POOL.id(), Duration.ofMillis(400));
      assertThat(countChoicesByTarget()).hasSize(SIZE);
    }
  }

  @Nested
  class UnusedTargets {
    private Map<TargetId, Integer> countChoices(boolean idempotent) {
      recordSuccesses(0, SIZE - 2);
      now = now.plus(UnusedTargetTrials.UNUSED_AFTER);
      recordSuccesses(0, SIZE - 2);
      for (int i = 0; i < SIZE - 2; i++) {
        load.recordCompletions(Fixtures.id(i), 3, now);
      }
      Map<TargetId, Integer> counts = new HashMap<>();
      for (int i = 0; i < 200; i++) {
        TargetChoice choice = chooser.choose(POOL, HEALTHY, idempotent, Optional.empty(), now);
        counts.merge(((TargetChoice.Chosen) choice).target().id(), 1, Integer::sum);
      }
      return counts;
    }

    // Guards against targets that are never used and of which nobody knows whether they work.
    @Test
    void areTriedWithIdempotentRequests() {
      Map<TargetId, Integer> counts = countChoices(true);
      int tried =
          counts.getOrDefault(Fixtures.id(SIZE - 1), 0)
              + counts.getOrDefault(Fixtures.id(SIZE - 2), 0);
      assertThat(counts).containsKey(Fixtures.id(SIZE - 1));
      assertThat(counts).containsKey(Fixtures.id(SIZE - 2));
      // All instances together send 10 requests/s and try each of the two targets 3 times a second.
      assertThat(tried).isAtMost(160);
    }

    @Test
    void areNotTriedWithOtherRequests() {
      assertThat(countChoices(false)).doesNotContainKey(Fixtures.id(SIZE - 1));
    }
  }

  @Nested
  class Locality {
    // Guards against unnecessary traffic between failure domains.
    @Test
    void isPreferredWhileLocalTargetsHaveCapacity() {
      recordSuccesses(0, SIZE);
      load.recordDuration(POOL.id(), Duration.ofMillis(400));
      Map<TargetId, Integer> counts = countChoicesByTarget();
      int localCount = 0;
      for (int i = 0; i < SIZE; i += 3) {
        localCount += counts.getOrDefault(Fixtures.id(i), 0);
      }
      assertThat(localCount).isAtLeast(900);
    }

    // Guards against instances of one failure domain that together overload local targets.
    @Test
    void isIgnoredWhileTheLoadIsUnknown() {
      recordSuccesses(0, SIZE);
      Map<TargetId, Integer> counts = countChoicesByTarget();
      int localCount = 0;
      for (int i = 0; i < SIZE; i += 3) {
        localCount += counts.getOrDefault(Fixtures.id(i), 0);
      }
      assertThat(localCount).isAtMost(800);
    }

    // Guards against local targets that are overloaded while remote ones are idle.
    @Test
    void isIgnoredForBusyTargets() {
      recordSuccesses(0, SIZE);
      load.recordDuration(POOL.id(), Duration.ofMillis(400));
      for (int i = 0; i < SIZE; i += 3) {
        load.recordCompletions(Fixtures.id(i), 60, now);
      }
      Map<TargetId, Integer> counts = countChoicesByTarget();
      int localCount = 0;
      for (int i = 0; i < SIZE; i += 3) {
        localCount += counts.getOrDefault(Fixtures.id(i), 0);
      }
      assertThat(localCount).isAtMost(600);
    }
  }
}
