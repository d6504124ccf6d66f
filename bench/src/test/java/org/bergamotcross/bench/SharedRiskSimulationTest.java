package org.bergamotcross.bench;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays many instances in front of targets that fail for seconds and are cut off from some
 * instances.
 */
class SharedRiskSimulationTest {
  private static final int SEEDS = 4;

  @Nested
  class SoundTargets {
    // Guards against instances that share their evidence and therefore all leave out the same
    // targets, although these have recovered.
    @ParameterizedTest
    @CsvSource({"57, 49, 190, 0.08", "57, 64, 200, 0.3", "16, 16, 64, 0"})
    void areUsedWhileRequestsFail(
        int instances, int targets, double requestsPerSecond, double idempotentShare) {
      SharedRiskSimulation.Load load =
          new SharedRiskSimulation.Load(instances, targets, requestsPerSecond, idempotentShare, 26);
      for (int seed = 1; seed <= SEEDS; seed++) {
        SharedRiskSimulation.Result result = SharedRiskSimulation.run(load, seed);
        assertThat(result.unevenWindows()).isEqualTo(0);
        assertThat(result.served()).isAtLeast(0.85);
      }
    }
  }

  @Nested
  class RepeatedRuns {
    @Test
    void giveEqualResults() {
      SharedRiskSimulation.Load load = new SharedRiskSimulation.Load(16, 16, 64, 0, 10);
      assertThat(SharedRiskSimulation.run(load, 3)).isEqualTo(SharedRiskSimulation.run(load, 3));
    }
  }
}
