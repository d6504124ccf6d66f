package org.bergamotcross.entry.duties;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.routing.FailureRisk;
import org.bergamotcross.core.routing.PoolLoad;
import org.bergamotcross.core.routing.TargetNotice;
import org.bergamotcross.core.routing.TargetNotices;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OutcomeBroadcasterTest {
  private static final ClockReading NOW = ClockReading.ofMillis(1_000);
  private static final Target TARGET =
      new Target(new TargetId("t1"), "10.0.0.1", 80, new FailureDomain("a"), 500);

  private record Sent(String to, OutcomeMessage message) {}

  private final List<Sent> sent = new ArrayList<>();
  private final TargetNotices notices =
      new TargetNotices(RandomSource.XO_RO_SHI_RO_128_PP.create(1));
  private final OutcomeBroadcaster broadcaster =
      new OutcomeBroadcaster(
          new FailureRisk(),
          new PoolLoad(),
          notices,
          new OutcomeSender() {
            @Override
            public void sendAll(OutcomeMessage message) {
              sent.add(new Sent("all", message));
            }

            @Override
            public void send(InstanceId peer, OutcomeMessage message) {
              sent.add(new Sent(peer.value(), message));
            }
          },
          NOW);

  /** Guards against instances that go on using a target that is leaving. */
  @Nested
  class LeavingTargets {
    @Test
    void areSentToAllPeersAtOnceAndOnlyOnce() {
      assertThat(broadcaster.onLeaving(TARGET, NOW)).isTrue();
      assertThat(broadcaster.onLeaving(TARGET, NOW)).isFalse();
      broadcaster.sendIfDue(NOW.plus(OutcomeBroadcaster.BROADCAST_INTERVAL));
      assertThat(sent).hasSize(1);
      assertThat(sent.getFirst().to()).isEqualTo("all");
      assertThat(sent.getFirst().message().leaving()).containsExactly("t1", 500L);
    }

    // Guards against a restarted instance that uses a target of which its peers know better.
    @Test
    void areSentToAPeerThatStarts() {
      InstanceId peer = new InstanceId("entry-2");
      broadcaster.sendLeavingTargets(peer);
      assertThat(sent).isEmpty();
      broadcaster.onLeaving(TARGET, NOW);
      broadcaster.sendLeavingTargets(peer);
      assertThat(sent.getLast().to()).isEqualTo("entry-2");
      assertThat(sent.getLast().message().leaving()).containsExactly("t1", 500L);
    }

    @Test
    void areLearnedFromPeers() {
      broadcaster.onPeerOutcomes(
          new OutcomeMessage(Map.of(), Map.of(), Map.of(), Map.of("t1", 500L)), NOW);
      assertThat(notices.notice(TARGET, NOW).orElseThrow()).isEqualTo(new TargetNotice.Leaving());
    }

    // Guards against a message of a build that knows no leaving targets.
    @Test
    void mayBeMissingInAMessage() {
      OutcomeMessage message = new OutcomeMessage(Map.of("t1", 1), Map.of(), Map.of(), null);
      broadcaster.onPeerOutcomes(message, NOW);
      assertThat(notices.notice(TARGET, NOW)).isEmpty();
    }
  }
}
