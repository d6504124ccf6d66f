package org.bergamotcross.entry.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.entry.peer.PeerMessages.Beat;
import org.bergamotcross.kernel.Now;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerTableTest {
  private static final InstanceId PEER = new InstanceId("b");
  private static final long OWN = 7;
  private static final long THEIRS = 9;

  private final PeerTable table = new PeerTable(member("a", OWN), Now.ofMillis(0));

  private static Member member(long incarnation) {
    return member(PEER.value(), incarnation);
  }

  private static Member member(String id, long incarnation) {
    return new Member(new InstanceId(id), incarnation, new FailureDomain("d1"), "127.0.0.1:9");
  }

  private static Beat beat(long echoIncarnation, long echoSequence) {
    return new Beat(1, echoIncarnation, echoSequence, 5, new byte[0]);
  }

  private void sendBeats(int count) {
    for (int i = 0; i < count; i++) {
      table.nextBeat(PEER, 0, Now.ofMillis(500L * i));
    }
  }

  @Nested
  class Echoes {
    // A paused instance reads old beats after it wakes; they must not count as fresh.
    @Test
    void areAsOldAsTheBeatThatTheyEcho() {
      table.introduce(member(THEIRS), Now.ofMillis(0));
      sendBeats(3);
      assertThat(
              table
                  .heard(PEER, THEIRS, beat(OWN, 2), OWN, Now.ofMillis(60_000))
                  .map(PeerTable.Echo::beatSentAt))
          .hasValue(Now.ofMillis(500));
    }

    // A restarted instance must not count answers to the beats of its predecessor.
    @Test
    void ofAnEarlierIncarnationDoNotCount() {
      table.introduce(member(THEIRS), Now.ofMillis(0));
      sendBeats(3);
      assertThat(table.heard(PEER, THEIRS, beat(OWN - 1, 2), OWN, Now.ofMillis(9))).isEmpty();
    }

    @Test
    void fromAnEarlierIncarnationOfThePeerDoNotCount() {
      table.introduce(member(THEIRS), Now.ofMillis(0));
      sendBeats(3);
      table.introduce(member(THEIRS + 1), Now.ofMillis(1500));
      assertThat(table.heard(PEER, THEIRS, beat(OWN, 2), OWN, Now.ofMillis(1501))).isEmpty();
    }
  }

  @Nested
  class RestartedInstance {
    // During a log outage its join can't be recorded, so each configuration names its predecessor.
    @Test
    void isHeardAfterAConfigurationThatNamesItsPredecessor() {
      table.introduce(member(THEIRS + 1), Now.ofMillis(0));
      table.update(new Members(3, List.of(member(THEIRS))), Now.ofMillis(10));
      sendBeats(3);
      assertThat(table.heard(PEER, THEIRS + 1, beat(OWN, 2), OWN, Now.ofMillis(999))).isPresent();
    }

    @Test
    void isReplacedByTheRecordWhenItIsSilent() {
      table.introduce(member(THEIRS), Now.ofMillis(0));
      table.update(new Members(3, List.of(member(THEIRS + 1))), Now.ofMillis(30_001));
      assertThat(table.find(PEER)).hasValue(member(THEIRS + 1));
    }
  }

  @Nested
  class Silence {
    @Test
    void forgetsInstancesThatAreNoMembers() {
      table.introduce(member(THEIRS), Now.ofMillis(0));
      table.forgetSilent(Now.ofMillis(30_001));
      assertThat(table.find(PEER)).isEmpty();
    }

    @Test
    void keepsMembers() {
      table.update(new Members(3, List.of(member(THEIRS))), Now.ofMillis(0));
      table.forgetSilent(Now.ofMillis(30_001));
      assertThat(table.find(PEER)).isPresent();
    }
  }

  @Nested
  class DirectoryTold {
    private final PeerMessages.Peers told =
        new PeerMessages.Peers(List.of(PeerMessages.Hello.of(member(THEIRS), false)), true, false);

    @Test
    void standsInForOneThatCannotBeRead() {
      table.told(told, Now.ofMillis(0));
      assertThat(table.fleet(Now.ofMillis(0)).instances()).isEqualTo(2);
    }

    // A peer that has not noticed the entry of this instance must not make it enter itself again.
    @Test
    void doesNotReplaceTheOneThatWasRead() {
      table.list(List.of(member(THEIRS)), true, Now.ofMillis(0));
      table.introduce(member(THEIRS), Now.ofMillis(0));
      table.told(told, Now.ofMillis(0));
      sendBeats(3);
      table.heard(PEER, THEIRS, beat(OWN, 2), OWN, Now.ofMillis(1_500));
      assertThat(table.fleet(Now.ofMillis(1_500)).awaitsRegistration()).isFalse();
      assertThat(table.isShareUsable()).isTrue();
    }
  }

  @Nested
  class Fleet {
    // A silent instance may be cut off and use its part of the retries and rates.
    @Test
    void isAsLargeWhenPeersAreSilentAndConnectionsEnd() {
      table.list(List.of(member(THEIRS)), true, Now.ofMillis(0));
      table.introduce(member(THEIRS), Now.ofMillis(0));
      table.ended(member(THEIRS).peerAddress());
      table.forgetSilent(Now.ofMillis(3_600_000));
      assertThat(table.fleet(Now.ofMillis(3_600_000)).instances()).isEqualTo(2);
    }
  }
}
