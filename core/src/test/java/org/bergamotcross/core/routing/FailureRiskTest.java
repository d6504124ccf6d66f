package org.bergamotcross.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Set;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.FailureRisk.RiskLevel;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FailureRiskTest {
  private static final TargetId TARGET = Fixtures.id(0);
  private static final ClockReading NOW = ClockReading.ofMillis(0);

  private final FailureRisk risks = new FailureRisk();

  private RiskLevel riskLevel(long millis) {
    return risks.riskLevel(TARGET, NOW.plus(Duration.ofMillis(millis)));
  }

  @Nested
  class OneFailure {
    // Guards against requests that are lost while several failures are needed to detect a fault.
    @Test
    void ofATargetWithoutHistoryMeansHighRisk() {
      risks.recordFailure(TARGET, NOW);
      assertThat(riskLevel(0)).isEqualTo(RiskLevel.HIGH);
      assertThat(riskLevel(2_000)).isEqualTo(RiskLevel.HIGH);
    }

    // Guards against a penalty that outlasts the fault: targets often recover within 3 s.
    @Test
    void decaysOverTime() {
      risks.recordFailure(TARGET, NOW);
      assertThat(riskLevel(4_000)).isEqualTo(RiskLevel.UNCERTAIN);
      assertThat(riskLevel(30_000)).isEqualTo(RiskLevel.UNCERTAIN);
    }

    // Guards against a healthy target that gets no requests for long after a single error.
    @Test
    void ofAHealthyTargetIsRefutedByAFewSuccesses() {
      for (int i = 0; i < 10; i++) {
        risks.recordSuccess(TARGET, NOW);
      }
      risks.recordFailure(TARGET, NOW);
      assertThat(riskLevel(0)).isNotEqualTo(RiskLevel.LOW);
      risks.recordSuccess(TARGET, NOW);
      assertThat(riskLevel(0)).isEqualTo(RiskLevel.LOW);
    }
  }

  @Nested
  class PathFaults {
    // Guards against a path fault of one instance that keeps all instances from using a target.
    @Test
    void aStallAtAPeerIsNoProofOfAFault() {
      risks.recordPeerSuccesses(TARGET, 3, NOW);
      risks.recordPeerUnreachable(TARGET, NOW);
      assertThat(riskLevel(0)).isEqualTo(RiskLevel.LOW);
    }

    // Guards against an instance that uses a broken path because its peers reach the target.
    @Test
    void successesOfPeersDoNotRefuteAnOwnStall() {
      risks.recordUnreachable(TARGET, NOW);
      risks.recordPeerSuccesses(TARGET, 50, NOW);
      assertThat(riskLevel(0)).isEqualTo(RiskLevel.HIGH);
      for (int i = 0; i < 8; i++) {
        risks.recordSuccess(TARGET, NOW);
      }
      assertThat(riskLevel(0)).isEqualTo(RiskLevel.LOW);
    }
  }

  @Nested
  class NewTargets {
    // Guards against new targets that get no requests because others are known to be healthy.
    @Test
    void startAtLowRisk() {
      risks.retainTargets(Set.of(TARGET), NOW);
      assertThat(riskLevel(0)).isEqualTo(RiskLevel.LOW);
      assertThat(riskLevel(20_000)).isEqualTo(RiskLevel.UNCERTAIN);
    }

    // Guards against a stale estimate for a target id that is removed and added again.
    @Test
    void haveNoHistory() {
      risks.recordFailure(TARGET, NOW);
      risks.retainTargets(Set.of(), NOW);
      risks.retainTargets(Set.of(TARGET), NOW);
      assertThat(riskLevel(0)).isEqualTo(RiskLevel.LOW);
    }
  }
}
