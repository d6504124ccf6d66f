package org.bergamotcross.entry.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
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

  /** The wire kind of {@link Introductions}. */
  static final String INTRODUCTIONS = "introductions";

  /** The wire kind of {@link Bundle}, which {@link BundleCodec} encodes. */
  static final String BUNDLE = "bundle";

  /** The wire kind of {@link Relayed}. */
  static final String RELAYED = "relayed";

  private PeerMessages() {}

  /**
   * Introduces an instance; the first message that its sender writes to a connection.
   *
   * @param id the id of the instance
   * @param incarnation the incarnation of the instance
   * @param failureDomain the failure domain in which the instance runs
   * @param peerAddress the address at which it accepts peer connections, as {@code ip:port}
   * @param asksForPeers whether the receiver should reply with the peers it knows
   * @param capacity the capacity of the instance's processor and link, 0 if unknown
   * @param canRelay whether the instance uses relays in a large fleet, and can be one; false in a
   *     message of a version that knows no relays
   * @param onDemand whether the sender keeps the link only because the receiver wants one
   * @param ageMs in a list, how long ago this incarnation introduced itself; missing if it did not
   *     introduce itself to the sender or to an instance that told the sender
   */
  record Hello(
      String id,
      long incarnation,
      String failureDomain,
      String peerAddress,
      boolean asksForPeers,
      int capacity,
      boolean canRelay,
      boolean onDemand,
      Optional<Long> ageMs) {
    /** Replaces a missing age by an empty one. */
    // A component that is missing in a message of an older version is null here.
    @SuppressWarnings("OptionalAssignedToNull")
    Hello {
      ageMs = ageMs == null ? Optional.empty() : ageMs;
    }

    static Hello of(Member member, boolean asksForPeers) {
      return of(member, 0, true, asksForPeers, false);
    }

    static Hello of(
        Member member, int capacity, boolean canRelay, boolean asksForPeers, boolean onDemand) {
      return new Hello(
          member.id().value(),
          member.incarnation(),
          member.failureDomain().value(),
          member.peerAddress(),
          asksForPeers,
          capacity,
          canRelay,
          onDemand,
          Optional.empty());
    }

    /** Describes another instance in a list. */
    static Hello ofListed(
        Member member, int capacity, boolean canRelay, Optional<Duration> introducedAgo) {
      return new Hello(
          member.id().value(),
          member.incarnation(),
          member.failureDomain().value(),
          member.peerAddress(),
          false,
          capacity,
          canRelay,
          false,
          introducedAgo.map(Duration::toMillis));
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
   * Passes on instances that have introduced themselves, where not all instances are linked.
   *
   * @param instances the instances
   */
  record Introductions(List<Hello> instances) {
    /** Copies the list. */
    Introductions {
      instances = List.copyOf(instances);
    }
  }

  /**
   * Carries a message between two instances without a link over a relay that has links to both.
   *
   * @param to the id of the receiver
   * @param from the id of the sender
   * @param incarnation the incarnation of the sender
   * @param kind the wire name of the message kind
   * @param body the message encoded as MessagePack
   */
  // Written to the wire once and never changed or compared.
  @SuppressWarnings("ArrayRecordComponent")
  record Relayed(String to, String from, long incarnation, String kind, byte[] body) {}

  /**
   * Proves that the sender is alive and echoes the latest heartbeat it received from the receiver.
   *
   * @param sequence the sequence number among the sender's heartbeats to this receiver
   * @param echoIncarnation the incarnation of the receiver whose heartbeat is echoed
   * @param echoSequence the highest sequence number received from that incarnation, 0 if none
   * @param offset the offset up to which the sender has applied the configuration log
   * @param delegation the sender's delegation of its rate shares, encoded by {@link
   *     DelegationCodec}
   * @param flags the bits of {@link LinkFlags}, 0 if the sender uses no relays
   * @param digest the digest of the counted instances, 0 if the sender uses no relays
   * @param report a {@link RosterReport}; empty if there is nothing new to report
   */
  // Written to the wire once and never changed or compared.
  @SuppressWarnings("ArrayRecordComponent")
  record Heartbeat(
      long sequence,
      long echoIncarnation,
      long echoSequence,
      long offset,
      byte[] delegation,
      int flags,
      long digest,
      byte[] report) {
    /** Replaces missing bytes by empty ones. */
    Heartbeat {
      delegation = delegation == null ? new byte[0] : delegation;
      report = report == null ? new byte[0] : report;
    }

    /** Creates the heartbeat of an instance that uses no relays. */
    Heartbeat(
        long sequence, long echoIncarnation, long echoSequence, long offset, byte[] delegation) {
      this(sequence, echoIncarnation, echoSequence, offset, delegation, 0, 0, new byte[0]);
    }
  }
}
