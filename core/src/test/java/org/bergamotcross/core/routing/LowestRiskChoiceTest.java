package org.bergamotcross.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.kernel.Now;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Plays the load of one pool and checks which targets get it. */
class LowestRiskChoiceTest {
  private static final HealthView HEALTHY = new HealthView(Map.of());
  private static final int SIZE = 12;
  private static final Pool POOL = Fixtures.pool(SIZE, 0);

  private final FailureRisk risks = new FailureRisk();
  private final PoolLoad load = new PoolLoad();
  private final TargetChooser chooser =
      new TargetChooser(Fixtures.domain(0), new InFlightCounts(), risks, load, Fixtures.random(3));
  private Now now = Now.ofMillis(0);

  /** Returns how many of 1,200 requests each target gets; they end at once and are not learned. */
  private Map<TargetId, Integer> chooseOften() {
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
    // Guards against orders for a target that has just failed while sound ones have room.
    @Test
    void getNothingWhileOthersHaveRoom() {
      recordSuccesses(0, SIZE);
      risks.recordFailure(Fixtures.id(4), now);
      risks.recordFailure(Fixtures.id(4), now);
      assertThat(chooseOften()).doesNotContainKey(Fixtures.id(4));
    }

    // Guards against refusing everything when a whole pool fails.
    @Test
    void areUsedWhenNearlyAllFail() {
      for (int i = 0; i < SIZE; i++) {
        risks.recordFailure(Fixtures.id(i), now);
      }
      assertThat(chooseOften().size()).isAtLeast(4);
    }
  }

  @Nested
  class Load {
    // Guards against a few sound targets that get all work, queue it and shed it.
    @Test
    void goesToHalfOfThePoolAtLeast() {
      recordSuccesses(0, 2);
      now = now.plus(Duration.ofSeconds(1));
      assertThat(chooseOften().size()).isAtLeast(SIZE / 2);
    }

    // Guards against the same under a load that half of the pool can't carry.
    @Test
    void goesToAsManyAsItNeeds() {
      recordSuccesses(0, 6);
      for (int i = 0; i < SIZE; i++) {
        load.recordCompletions(Fixtures.id(i), 30, now);
      }
      load.recordDuration(POOL.id(), Duration.ofMillis(400));
      assertThat(chooseOften()).hasSize(SIZE);
    }
  }

  @Nested
  class Nearness {
    // Guards against the cost of crossing failure domains without need.
    @Test
    void countsWhileTheNearTargetsHaveRoom() {
      recordSuccesses(0, SIZE);
      load.recordDuration(POOL.id(), Duration.ofMillis(400));
      Map<TargetId, Integer> counts = chooseOften();
      int near = 0;
      for (int i = 0; i < SIZE; i += 3) {
        near += counts.getOrDefault(Fixtures.id(i), 0);
      }
      assertThat(near).isAtLeast(900);
    }

    // Guards against instances of one domain that together overload near targets.
    @Test
    void doesNotCountWhileTheLoadIsUnknown() {
      recordSuccesses(0, SIZE);
      Map<TargetId, Integer> counts = chooseOften();
      int near = 0;
      for (int i = 0; i < SIZE; i += 3) {
        near += counts.getOrDefault(Fixtures.id(i), 0);
      }
      assertThat(near).isAtMost(800);
    }

    // Guards against near targets that are overloaded while far ones are idle.
    @Test
    void doesNotCountForBusyTargets() {
      recordSuccesses(0, SIZE);
      load.recordDuration(POOL.id(), Duration.ofMillis(400));
      for (int i = 0; i < SIZE; i += 3) {
        load.recordCompletions(Fixtures.id(i), 60, now);
      }
      Map<TargetId, Integer> counts = chooseOften();
      int near = 0;
      for (int i = 0; i < SIZE; i += 3) {
        near += counts.getOrDefault(Fixtures.id(i), 0);
      }
      assertThat(near).isAtMost(600);
    }
  }
}
