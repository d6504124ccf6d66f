package org.bergamotcross.entry.peer;

import java.util.List;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;

/** Defines the messages of the membership and failure-detection protocol between peers. */
final class PeerMessages {
  /** The wire kind of {@link Hello}. */
  static final String HELLO = "hello";

  /** The wire kind of {@link PeerList}. */
  static final String PEER_LIST = "peers";

  /** The wire kind of {@link Heartbeat}. */
  static final String HEARTBEAT = "beat";

  private PeerMessages() {}

  /**
   * Introduces an instance; the first message that its sender writes to a connection.
   *
   * @param id the id of the instance
   * @param incarnation the incarnation of the instance
   * @param failureDomain the failure domain in which the instance runs
   * @param peerAddress the address at which it accepts peer connections, as {@code ip:port}
   * @param asksForPeers whether the receiver should reply with the peers it knows
   */
  record Hello(
      String id, long incarnation, String failureDomain, String peerAddress, boolean asksForPeers) {
    static Hello of(Member member, boolean asksForPeers) {
      return new Hello(
          member.id().value(),
          member.incarnation(),
          member.failureDomain().value(),
          member.peerAddress(),
          asksForPeers);
    }

    Member member() {
      return new Member(
          new InstanceId(id), incarnation, new FailureDomain(failureDomain), peerAddress);
    }
  }

  /**
   * Lists the peers known to the sender.
   *
   * @param peers the known peers
   * @param complete whether the list includes every instance in the directory
   * @param registered whether the directory lists the receiver
   */
  record PeerList(List<Hello> peers, boolean complete, boolean registered) {
    /** Copies the list. */
    PeerList {
      peers = List.copyOf(peers);
    }
  }

  /**
   * Proves that the sender is alive and echoes the latest heartbeat it received from the receiver.
   *
   * @param sequence the sequence number among the sender's heartbeats to this receiver
   * @param echoIncarnation the incarnation of the receiver whose heartbeat is echoed
   * @param echoSequence the highest sequence number received from that incarnation, 0 if none
   * @param offset the offset up to which the sender has applied the configuration log
   * @param delegation the sender's delegation of its rate shares, encoded by {@link
   *     DelegationCodec}
   */
  // Written to the wire once and never changed or compared.
  @SuppressWarnings("ArrayRecordComponent")
  record Heartbeat(
      long sequence, long echoIncarnation, long echoSequence, long offset, byte[] delegation) {
    /** Replaces a missing delegation by an empty one. */
    Heartbeat {
      delegation = delegation == null ? new byte[0] : delegation;
    }
  }
}
