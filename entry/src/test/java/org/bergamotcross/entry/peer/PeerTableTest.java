package org.bergamotcross.entry.peer;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.entry.peer.PeerMessages.Heartbeat;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against wrong failure detection and membership: stale echoes, restarts and silence. */
class PeerTableTest {
  private static final InstanceId PEER = new InstanceId("b");
  private static final long OWN_INCARNATION = 7;
  private static final long PEER_INCARNATION = 9;

  private final PeerTable table =
      new PeerTable(
          member("a", OWN_INCARNATION), 0, 24, Duration.ofMillis(3_500), ClockReading.ofMillis(0));

  private static Member member(long incarnation) {
    return member(PEER.value(), incarnation);
  }

  private static PeerMessages.Hello hello(long incarnation) {
    return PeerMessages.Hello.of(member(incarnation), false);
  }

  private static Member member(String id, long incarnation) {
    return new Member(new InstanceId(id), incarnation, new FailureDomain("d1"), "127.0.0.1:9");
  }

  private static Heartbeat heartbeat(long echoIncarnation, long echoSequence) {
    return new Heartbeat(1, echoIncarnation, echoSequence, 5, new byte[0]);
  }

  private void sendHeartbeats(int count) {
    for (int i = 0; i < count; i++) {
      table.nextHeartbeat(PEER, 0, new byte[0], ClockReading.ofMillis(500L * i));
    }
  }

  @Nested
  class Echoes {
    // Guards against stale heartbeats counting as fresh when an instance reads them after a pause.
    @Test
    void areAsOldAsTheHeartbeatTheyEcho() {
      table.known().recordIntroduction(hello(PEER_INCARNATION), ClockReading.ofMillis(0));
      sendHeartbeats(3);
      assertThat(
              table
                  .recordHeartbeat(
                      PEER,
                      PEER_INCARNATION,
                      heartbeat(OWN_INCARNATION, 2),
                      OWN_INCARNATION,
                      ClockReading.ofMillis(60_000))
                  .map(PeerTable.EchoedHeartbeat::heartbeatSentAt))
          .hasValue(ClockReading.ofMillis(500));
    }

    // Guards against a restarted instance that accepts echoes of its previous incarnation.
    @Test
    void ofAnEarlierIncarnationDoNotCount() {
      table.known().recordIntroduction(hello(PEER_INCARNATION), ClockReading.ofMillis(0));
      sendHeartbeats(3);
      assertThat(
              table.recordHeartbeat(
                  PEER,
                  PEER_INCARNATION,
                  heartbeat(OWN_INCARNATION - 1, 2),
                  OWN_INCARNATION,
                  ClockReading.ofMillis(9)))
          .isEmpty();
    }

    @Test
    void fromAnEarlierIncarnationOfThePeerDoNotCount() {
      table.known().recordIntroduction(hello(PEER_INCARNATION), ClockReading.ofMillis(0));
      sendHeartbeats(3);
      table.known().recordIntroduction(hello(PEER_INCARNATION + 1), ClockReading.ofMillis(1500));
      assertThat(
              table.recordHeartbeat(
                  PEER,
                  PEER_INCARNATION,
                  heartbeat(OWN_INCARNATION, 2),
                  OWN_INCARNATION,
                  ClockReading.ofMillis(1501)))
          .isEmpty();
    }
  }

  @Nested
  class RestartedInstance {
    // Guards against ignoring a restarted instance during a log outage: its join can't be recorded,
    // so each configuration still lists its previous incarnation.
    @Test
    void isHeardAfterAConfigurationThatNamesItsPredecessor() {
      table.known().recordIntroduction(hello(PEER_INCARNATION + 1), ClockReading.ofMillis(0));
      table
          .known()
          .updateMembers(
              new Members(3, List.of(member(PEER_INCARNATION))), ClockReading.ofMillis(10));
      sendHeartbeats(3);
      assertThat(
              table.recordHeartbeat(
                  PEER,
                  PEER_INCARNATION + 1,
                  heartbeat(OWN_INCARNATION, 2),
                  OWN_INCARNATION,
                  ClockReading.ofMillis(999)))
          .isPresent();
    }

    @Test
    void isReplacedByTheRecordWhenItIsSilent() {
      table.known().recordIntroduction(hello(PEER_INCARNATION), ClockReading.ofMillis(0));
      table
          .known()
          .updateMembers(
              new Members(3, List.of(member(PEER_INCARNATION + 1))), ClockReading.ofMillis(30_001));
      assertThat(table.known().find(PEER)).hasValue(member(PEER_INCARNATION + 1));
    }
  }

  @Nested
  class Silence {
    @Test
    void forgetsInstancesThatAreNoMembers() {
      table.known().recordIntroduction(hello(PEER_INCARNATION), ClockReading.ofMillis(0));
      table.known().removeSilentNonMembers(ClockReading.ofMillis(30_001));
      assertThat(table.known().find(PEER)).isEmpty();
    }

    @Test
    void keepsMembers() {
      table
          .known()
          .updateMembers(
              new Members(3, List.of(member(PEER_INCARNATION))), ClockReading.ofMillis(0));
      table.known().removeSilentNonMembers(ClockReading.ofMillis(30_001));
      assertThat(table.known().find(PEER)).isPresent();
    }
  }

  @Nested
  class DirectoryFromPeer {
    private final PeerMessages.PeerList peerList =
        new PeerMessages.PeerList(
            List.of(PeerMessages.Hello.of(member(PEER_INCARNATION), false)), true, false);

    @Test
    void replacesAnUnreadableDirectory() {
      table.known().mergePeerList(PEER, peerList, ClockReading.ofMillis(0));
      assertThat(table.updateFleet(ClockReading.ofMillis(0)).instanceCount()).isEqualTo(2);
    }

    // Guards against repeated registration because of a peer that does not know yet that the
    // directory lists this instance.
    @Test
    void doesNotReplaceADirectoryThatWasRead() {
      table
          .known()
          .applyDirectory(List.of(member(PEER_INCARNATION)), true, ClockReading.ofMillis(0));
      table.known().recordIntroduction(hello(PEER_INCARNATION), ClockReading.ofMillis(0));
      table.known().mergePeerList(PEER, peerList, ClockReading.ofMillis(0));
      sendHeartbeats(3);
      table.recordHeartbeat(
          PEER,
          PEER_INCARNATION,
          heartbeat(OWN_INCARNATION, 2),
          OWN_INCARNATION,
          ClockReading.ofMillis(1_500));
      assertThat(table.updateFleet(ClockReading.ofMillis(1_500)).awaitsRegistration()).isFalse();
      assertThat(table.isShareUsable()).isTrue();
    }
  }

  @Nested
  class Fleet {
    // Guards against shares that are used twice: a silent instance may be partitioned and still use
    // its share of the retries and rates.
    @Test
    void isAsLargeWhenPeersAreSilentAndConnectionsEnd() {
      table
          .known()
          .applyDirectory(List.of(member(PEER_INCARNATION)), true, ClockReading.ofMillis(0));
      table.known().recordIntroduction(hello(PEER_INCARNATION), ClockReading.ofMillis(0));
      table.recordLinkEnded(member(PEER_INCARNATION).peerAddress(), ClockReading.ofMillis(0));
      table.known().removeSilentNonMembers(ClockReading.ofMillis(3_600_000));
      assertThat(table.updateFleet(ClockReading.ofMillis(3_600_000)).instanceCount()).isEqualTo(2);
    }
  }
}
