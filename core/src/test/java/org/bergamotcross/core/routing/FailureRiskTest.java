package org.bergamotcross.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Set;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.FailureRisk.Standing;
import org.bergamotcross.kernel.Now;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FailureRiskTest {
  private static final TargetId TARGET = Fixtures.id(0);
  private static final Now NOW = Now.ofMillis(0);

  private final FailureRisk risks = new FailureRisk();

  private Standing standing(long millis) {
    return risks.standing(TARGET, NOW.plus(Duration.ofMillis(millis)));
  }

  @Nested
  class OneFailure {
    // Guards against orders that are lost until a failing target has failed several of them.
    @Test
    void ofATargetWithoutHistoryIsEnough() {
      risks.failed(TARGET, NOW);
      assertThat(standing(0)).isEqualTo(Standing.FAILING);
      assertThat(standing(5_000)).isEqualTo(Standing.FAILING);
    }

    // Guards against a penalty that outlasts the fault.
    @Test
    void isForgottenWithTime() {
      risks.failed(TARGET, NOW);
      assertThat(standing(30_000)).isEqualTo(Standing.DOUBTFUL);
    }

    // Guards against a sound target that is left out for long after a single error.
    @Test
    void ofASoundTargetIsRefutedByAFewSuccesses() {
      for (int i = 0; i < 10; i++) {
        risks.succeeded(TARGET, NOW);
      }
      risks.failed(TARGET, NOW);
      assertThat(standing(0)).isNotEqualTo(Standing.SOUND);
      risks.succeeded(TARGET, NOW);
      assertThat(standing(0)).isEqualTo(Standing.SOUND);
    }
  }

  @Nested
  class Paths {
    // Guards against a path fault of one instance that takes a target from all instances.
    @Test
    void aStallAtAPeerIsNoProofOfAFault() {
      risks.peerSucceeded(TARGET, 3, NOW);
      risks.peerUnreachable(TARGET, NOW);
      assertThat(standing(0)).isEqualTo(Standing.SOUND);
    }

    // Guards against an instance that trusts its broken path because others reach the target.
    @Test
    void successesOfPeersDoNotRefuteAnOwnStall() {
      risks.unreachable(TARGET, NOW);
      risks.peerSucceeded(TARGET, 50, NOW);
      assertThat(standing(0)).isEqualTo(Standing.FAILING);
      for (int i = 0; i < 8; i++) {
        risks.succeeded(TARGET, NOW);
      }
      assertThat(standing(0)).isEqualTo(Standing.SOUND);
    }
  }

  @Nested
  class Joining {
    // Guards against new targets that get no work because others are known to be sound.
    @Test
    void targetsAreTriedAtOnce() {
      risks.retain(Set.of(TARGET), NOW);
      assertThat(standing(0)).isEqualTo(Standing.SOUND);
      assertThat(standing(20_000)).isEqualTo(Standing.DOUBTFUL);
    }

    // Guards against the history of an id that was removed and comes back.
    @Test
    void targetsHaveNoHistory() {
      risks.failed(TARGET, NOW);
      risks.retain(Set.of(), NOW);
      risks.retain(Set.of(TARGET), NOW);
      assertThat(standing(0)).isEqualTo(Standing.SOUND);
    }
  }
}
