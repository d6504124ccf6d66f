package org.bergamotcross.entry.peer;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.bergamotcross.core.membership.Delegation;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.entry.Broadcasts.HeartbeatEcho;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EchoBatchTest {
  private static final ClockReading START = ClockReading.ofMillis(1_000);

  private final EchoBatch batch = new EchoBatch();

  private static ClockReading at(long millis) {
    return START.plus(Duration.ofMillis(millis));
  }

  private static Member member(String id, long incarnation) {
    return new Member(new InstanceId(id), incarnation, new FailureDomain("a"), "127.0.0.1:1");
  }

  private static HeartbeatEcho echo(Member peer, long offset, Delegation delegation, long millis) {
    return new HeartbeatEcho(peer, at(millis), offset, delegation);
  }

  private static Delegation delegation(int shares) {
    return new Delegation(shares, Members.NONE, Set.of());
  }

  @Nested
  class News {
    @BeforeEach
    void addKnownEcho() {
      batch.add(echo(member("a", 1), 5, delegation(2), 0), at(0));
      batch.takeDue(at(0));
    }

    // A delegation must be applied within 200 ms of its arrival; see DelegationPlan.
    private void checkDueAtOnce(HeartbeatEcho echo) {
      batch.add(echo, at(1_000));
      assertThat(batch.takeDue(at(1_000))).containsExactly(echo);
      assertThat(batch.dueAt()).isEmpty();
    }

    @Test
    void ofANewPeerAreDueAtOnce() {
      checkDueAtOnce(echo(member("b", 1), 5, delegation(2), 900));
    }

    @Test
    void ofARestartedPeerAreDueAtOnce() {
      checkDueAtOnce(echo(member("a", 2), 5, delegation(2), 900));
    }

    @Test
    void ofANewDelegationAreDueAtOnce() {
      checkDueAtOnce(echo(member("a", 1), 5, delegation(3), 900));
    }

    @Test
    void ofANewOffsetAreDueAtOnce() {
      checkDueAtOnce(echo(member("a", 1), 6, delegation(2), 900));
    }

    @Test
    void takeTheWaitingEchoesAlong() {
      HeartbeatEcho renewal = echo(member("a", 1), 5, delegation(2), 900);
      HeartbeatEcho news = echo(member("b", 1), 5, delegation(2), 900);
      batch.add(renewal, at(1_000));
      batch.add(news, at(1_020));
      assertThat(batch.takeDue(at(1_020))).containsExactly(renewal, news).inOrder();
    }

    @Test
    void ofAPeerThatWasForgottenAreDueAtOnce() {
      batch.retainPeers(List.of());
      checkDueAtOnce(echo(member("a", 1), 5, delegation(2), 900));
    }
  }

  @Nested
  class Renewals {
    // Guards against leases that run out because their renewal waits for further echoes.
    @Test
    void areDueAfterTheMaximumDelayOfTheFirst() {
      Member peer = member("a", 1);
      batch.add(echo(peer, 5, delegation(2), 0), at(0));
      batch.takeDue(at(0));
      HeartbeatEcho first = echo(peer, 5, delegation(2), 900);
      HeartbeatEcho second = echo(peer, 5, delegation(2), 950);
      batch.add(first, at(1_000));
      batch.add(second, at(1_060));
      assertThat(batch.dueAt()).hasValue(at(1_000).plus(EchoBatch.MAX_DELAY));
      assertThat(batch.takeDue(at(1_099))).isEmpty();
      assertThat(batch.takeDue(at(1_100))).containsExactly(first, second).inOrder();
      assertThat(batch.takeDue(at(1_200))).isEmpty();
    }
  }
}
