package org.bergamotcross.bench;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Holds the aims of the routing policy at the sizes of both deployments, with fixed seeds. */
class FleetRunTest {
  private static RunResult run(String scenario, InstancePolicy.Kind kind, long seed) {
    RunResult sum = new RunResult();
    Scenario found =
        Scenario.ALL.stream().filter(s -> s.name().equals(scenario)).findFirst().orElseThrow();
    for (Deployment deployment : Deployment.ALL) {
      sum.add(FleetRun.run(deployment, found, kind, seed));
    }
    return sum;
  }

  @Nested
  class StallAtATrickle {
    // Guards against a stall that is noticed late because the pool gets 1 request/s.
    @Test
    void isKnownToAllInstancesWithinTwoSeconds() {
      for (long seed = 1; seed <= 5; seed++) {
        RunResult result = run("stall-1rps", InstancePolicy.Kind.CHOSEN, seed);
        assertThat(result.undetected).isEqualTo(0);
        assertThat(RunResult.max(result.localMillis)).isAtMost(1_000);
        assertThat(RunResult.max(result.fleetMillis)).isAtMost(2_000);
        assertThat(RunResult.max(result.lastWorkMillis)).isAtMost(2_000);
        assertThat(result.falseEjections).isEqualTo(0);
      }
    }

    // Guards against a model in which any policy would detect the stall.
    @Test
    void isNotNoticedByConsecutiveFailures() {
      RunResult result = run("stall-1rps", InstancePolicy.Kind.CONSECUTIVE, 1);
      assertThat(result.undetected).isEqualTo(Deployment.ALL.size());
    }
  }

  @Nested
  class PathFault {
    // Guards against a one-way cut of one failure domain that moves the others away.
    @Test
    void isKeptToItsFailureDomain() {
      RunResult result = run("path-fault", InstancePolicy.Kind.CHOSEN, 1);
      assertThat(result.falseEjections).isEqualTo(0);
      assertThat(RunResult.max(result.localMillis)).isAtMost(1_000);
    }
  }

  @Nested
  class Repeats {
    // Guards against a model whose figures can't be compared from one run to the next.
    @Test
    void areEqual() {
      List<Long> first = run("stall-1rps", InstancePolicy.Kind.CHOSEN, 9).fleetMillis;
      assertThat(run("stall-1rps", InstancePolicy.Kind.CHOSEN, 9).fleetMillis).isEqualTo(first);
    }
  }
}
