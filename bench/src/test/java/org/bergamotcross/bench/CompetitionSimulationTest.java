package org.bergamotcross.bench;

import static com.google.common.truth.Truth.assertThat;

import org.bergamotcross.bench.CompetitionSimulation.Placing;
import org.bergamotcross.bench.CompetitionSimulation.Policy;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Plays organisations and kinds of requests that compete for the slots of a pool. */
class CompetitionSimulationTest {
  private static CompetitionResult run(String load, Policy policy, long seed) {
    return CompetitionSimulation.run(
        CompetitionLoad.find(load).orElseThrow(), policy, Placing.DEFAULT, seed);
  }

  @Nested
  class RepeatedRuns {
    // Guards against a simulation that is not deterministic for a given seed.
    @Test
    void giveEqualResults() {
      for (Policy policy : Policy.values()) {
        CompetitionResult first = run("small", policy, 3);
        CompetitionResult second = run("small", policy, 3);
        assertThat(second.worth()).isEqualTo(first.worth());
        assertThat(second.count()).isEqualTo(first.count());
      }
    }
  }

  @Nested
  class AllKnowing {
    // Guards against a limit that a policy without its knowledge exceeds.
    @Test
    void earnsMoreThanTheOthers() {
      for (String load : new String[] {"small", "holds", "histories"}) {
        double limit = run(load, Policy.ALL_KNOWING, 1).worth();
        assertThat(run(load, Policy.RANDOM_TWO, 1).worth()).isLessThan(limit);
        assertThat(run(load, Policy.DEADLINE, 1).worth()).isLessThan(limit);
      }
    }
  }

  @Nested
  class Fair {
    // Guards against a surge of a less urgent kind that takes the slots from more urgent ones.
    @Test
    void servesTheMoreUrgentKindsOfALargeFleetFirst() {
      CompetitionResult fair = run("large", Policy.FAIR, 1);
      assertThat(fair.worth()).isGreaterThan(run("large", Policy.DEADLINE, 1).worth());
      assertThat(fair.largestInversion()).isEqualTo(0);
    }
  }
}
