package org.bergamotcross.entry.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.codec.digest.MurmurHash3;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Roster;
import org.bergamotcross.kernel.ClockReading;

/**
 * Learns from relays which instances count the same instances as this one, and which are alive.
 *
 * <p>The digest covers the ids and the incarnations of the counted instances. An equal digest
 * therefore also means that the sender knows this incarnation, which is what an acknowledgement
 * says: holders have dropped what a previous incarnation delegated to them.
 */
final class RosterAgreement {
  /** How often an unchanged report is sent. */
  static final Duration REPORT_INTERVAL = Duration.ofSeconds(5);

  /** How long a report counts: one interval, a lost heartbeat and a margin. */
  static final Duration REPORT_VALIDITY = Duration.ofSeconds(8);

  /** How long rosters may differ, and stay unchanged, before the peers are listed again. */
  static final Duration MAX_DIFFERENCE = Duration.ofSeconds(1);

  private static final Duration PEER_LIST_INTERVAL = Duration.ofSeconds(2);

  private final Roster roster;
  private final InstanceId self;
  private List<Member> members = List.of();
  private long digest;
  private ClockReading changedAt;
  private Optional<RosterReport> ownReport = Optional.empty();
  private long ownReportVersion;

  RosterAgreement(Roster roster, InstanceId self, ClockReading now) {
    this.roster = roster;
    this.self = self;
    this.changedAt = now;
  }

  /** Returns the digest of the ids and incarnations of the counted instances. */
  long digest(ClockReading now) {
    List<Member> current = roster.members();
    if (!current.equals(members)) {
      members = current;
      long next = digestOf(current);
      if (next != digest) {
        digest = next;
        changedAt = now;
      }
    }
    return digest;
  }

  private static long digestOf(List<Member> counted) {
    long sum = 0;
    for (Member member : counted) {
      byte[] id = member.id().value().getBytes(StandardCharsets.UTF_8);
      byte[] bytes =
          ByteBuffer.allocate(Long.BYTES + id.length).putLong(member.incarnation()).put(id).array();
      sum += MurmurHash3.hash128x64(bytes)[0];
    }
    return sum;
  }

  /**
   * Updates what this instance reports to others as a relay.
   *
   * @param peers the known peers
   * @param maxEchoAge the maximum age of an echo of an instance that answers
   * @param now the current time
   * @return whether it has just become known that all counted instances agree
   */
  boolean updateOwnReport(Map<InstanceId, Peer> peers, Duration maxEchoAge, ClockReading now) {
    long current = digest(now);
    BitSet answering = new BitSet(members.size());
    BitSet agreeing = new BitSet(members.size());
    for (int i = 0; i < members.size(); i++) {
      InstanceId id = members.get(i).id();
      Peer peer = peers.get(id);
      boolean isSelf = id.equals(self);
      answering.set(i, isSelf || (peer != null && peer.isReachable(maxEchoAge, now)));
      agreeing.set(i, isSelf || (peer != null && answering.get(i) && peer.digest == current));
    }
    RosterReport next = new RosterReport(current, answering, agreeing, now);
    if (ownReport.filter(next::hasSameContent).isPresent()) {
      return false;
    }
    ownReport = Optional.of(next);
    ownReportVersion++;
    return agreeing.cardinality() == members.size();
  }

  /** Returns the encoded own report if a peer needs it, and empty bytes otherwise. */
  byte[] reportFor(Peer peer, ClockReading now) {
    boolean isDue =
        ownReport.isPresent()
            && (peer.reportedVersion != ownReportVersion || !now.isBefore(peer.reportDueAt));
    if (!isDue) {
      return new byte[0];
    }
    peer.reportedVersion = ownReportVersion;
    peer.reportDueAt = now.plus(REPORT_INTERVAL);
    return ownReport.get().encode();
  }

  /** Records the digest and the report in a heartbeat of a peer. */
  void record(Peer peer, PeerMessages.Heartbeat heartbeat, ClockReading now) {
    peer.digest = heartbeat.digest();
    if (heartbeat.report().length > 0) {
      peer.report = RosterReport.decode(heartbeat.report(), now);
      peer.report.ifPresent(report -> apply(report, now));
    }
  }

  private void apply(RosterReport report, ClockReading now) {
    if (report.digest() == digest(now)) {
      List<InstanceId> agreeing = RosterReport.instances(report.agreeing(), members);
      roster.recordAcknowledgements(agreeing);
      roster.recordIncarnationKnown(agreeing);
      roster.recordAlive(RosterReport.instances(report.answering(), members), now);
    }
  }

  /** Applies the reports that were received before this instance counted the same instances. */
  void reapplyReports(Collection<Peer> peers, ClockReading now) {
    for (Peer peer : peers) {
      peer.report.filter(report -> isValid(report, now)).ifPresent(report -> apply(report, now));
    }
  }

  private boolean isValid(RosterReport report, ClockReading now) {
    return report.digest() == digest(now)
        && now.since(report.receivedAt()).compareTo(REPORT_VALIDITY) <= 0;
  }

  /**
   * Counts the other instances that answer this instance or a relay that answers it.
   *
   * @param answering the peers that answer this instance
   * @param now the current time
   * @return the number of instances
   */
  int countAnswering(List<Peer> answering, ClockReading now) {
    digest(now);
    BitSet alive = new BitSet(members.size());
    Set<InstanceId> direct = new HashSet<>();
    for (Peer peer : answering) {
      direct.add(peer.id());
      peer.report.filter(report -> isValid(report, now)).ifPresent(r -> alive.or(r.answering()));
    }
    for (int i = 0; i < members.size(); i++) {
      InstanceId id = members.get(i).id();
      if (id.equals(self)) {
        alive.clear(i);
      } else if (direct.contains(id)) {
        alive.set(i);
      }
    }
    return alive.cardinality();
  }

  /**
   * Returns whether a peer is to be sent a list of the peers, because its roster has differed for a
   * while in which this instance learned nothing new.
   */
  boolean isPeerListDue(Peer peer, ClockReading now) {
    if (peer.digest == digest(now)) {
      peer.differsSince = Optional.empty();
      return false;
    }
    peer.differsSince = peer.differsSince.or(() -> Optional.of(now));
    boolean isDue =
        now.since(changedAt).compareTo(MAX_DIFFERENCE) >= 0
            && now.since(peer.differsSince.get()).compareTo(MAX_DIFFERENCE) >= 0
            && !now.isBefore(peer.peerListDueAt);
    if (isDue) {
      peer.peerListDueAt = now.plus(PEER_LIST_INTERVAL);
    }
    return isDue;
  }
}
