package org.bergamotcross.bench;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Verifies the detection targets of the routing policy in simulation, at the sizes of both
 * deployments and with fixed seeds.
 */
class RoutingSimulationTest {
  private static RoutingRunResult run(String scenario, RoutingPolicy.Kind kind, long seed) {
    RoutingRunResult sum = new RoutingRunResult();
    Scenario found =
        Scenario.ALL.stream().filter(s -> s.name().equals(scenario)).findFirst().orElseThrow();
    for (Deployment deployment : Deployment.ALL) {
      sum.add(RoutingSimulation.run(deployment, found, kind, seed));
    }
    return sum;
  }

  @Nested
  class StallAtOneRequestPerSecond {
    // Guards against a stalled target that is detected late because the pool receives only 1
    // request/s.
    @Test
    void isDetectedFleetWideWithinTwoSeconds() {
      for (long seed = 1; seed <= 5; seed++) {
        RoutingRunResult result = run("stall-1rps", RoutingPolicy.Kind.HEALTH_BASED, seed);
        assertThat(result.undetectedRuns).isEqualTo(0);
        assertThat(RoutingRunResult.max(result.localDetectionMillis)).isAtMost(1_000);
        assertThat(RoutingRunResult.max(result.fleetDetectionMillis)).isAtMost(2_000);
        assertThat(RoutingRunResult.max(result.lastFaultySendMillis)).isAtMost(2_000);
        assertThat(result.falseEjections).isEqualTo(0);
      }
    }

    // Guards against a simulation that is too easy: the baseline policy must miss the stall.
    @Test
    void isNotDetectedByConsecutiveFailures() {
      RoutingRunResult result = run("stall-1rps", RoutingPolicy.Kind.CONSECUTIVE_FAILURES, 1);
      assertThat(result.undetectedRuns).isEqualTo(Deployment.ALL.size());
    }
  }

  @Nested
  class PathFault {
    // Guards against a path fault between one failure domain and a target that makes the other
    // failure domains eject the target.
    @Test
    void causesNoEjectionInOtherFailureDomains() {
      RoutingRunResult result = run("path-fault", RoutingPolicy.Kind.HEALTH_BASED, 1);
      assertThat(result.falseEjections).isEqualTo(0);
      assertThat(RoutingRunResult.max(result.localDetectionMillis)).isAtMost(1_000);
    }
  }

  @Nested
  class RepeatedRuns {
    // Guards against a simulation that is not deterministic for a given seed.
    @Test
    void giveEqualResults() {
      List<Long> first = run("stall-1rps", RoutingPolicy.Kind.HEALTH_BASED, 9).fleetDetectionMillis;
      assertThat(run("stall-1rps", RoutingPolicy.Kind.HEALTH_BASED, 9).fleetDetectionMillis)
          .isEqualTo(first);
    }
  }
}
