package org.bergamotcross.entry.peer;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.bergamotcross.core.membership.Delegation;
import org.bergamotcross.core.membership.DelegationPlan;
import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.core.membership.Roster;
import org.bergamotcross.kernel.ClockReading;

/**
 * Tracks the known peers, their heartbeats and echoes, and the delegations exchanged with them.
 *
 * <p>A peer is a member, a seed from the settings, or an instance that has introduced itself and
 * sent a message within {@link #NON_MEMBER_RETENTION}. All methods run on the exchange duty.
 */
final class PeerTable {
  /** How long a silent instance that is not a member stays in the table. */
  static final Duration NON_MEMBER_RETENTION = Duration.ofSeconds(30);

  // 32 heartbeats of 500 ms cover 16 s, more than five times as long as an echo stays valid.
  private static final int MAX_SENT_HEARTBEATS = 32;

  // The roster counts silence in hours, and each heartbeat names nearly all instances.
  private static final Duration CANDIDATES_INTERVAL = Duration.ofSeconds(10);

  private record SentHeartbeat(long sequence, long planVersion, ClockReading sentAt) {}

  /**
   * A peer's echo of a heartbeat that this instance sent.
   *
   * @param heartbeatSentAt when this instance sent the echoed heartbeat
   * @param delegation the peer's delegation of its share of each rate
   */
  record EchoedHeartbeat(ClockReading heartbeatSentAt, Delegation delegation) {}

  private static final class Peer {
    Member member;
    ClockReading lastHeardAt;
    boolean introduced;
    long lastReceivedSequence;
    long lastSentSequence;
    Optional<ClockReading> echoedHeartbeatSentAt = Optional.empty();
    long confirmedPlanVersion;
    boolean connectionLost;
    boolean released;
    Optional<Delegation> announced = Optional.empty();
    ClockReading candidatesDueAt;
    final Deque<SentHeartbeat> sentHeartbeats = new ArrayDeque<>();

    Peer(Member member, ClockReading heardAt) {
      this.member = member;
      this.lastHeardAt = heardAt;
      this.candidatesDueAt = heardAt;
    }

    DelegationPlan.PeerState planState() {
      return new DelegationPlan.PeerState(lastHeardAt, confirmedPlanVersion, released);
    }
  }

  private final Member self;
  private final Map<InstanceId, Peer> peers = new HashMap<>();
  private final Roster roster;
  private final DelegationPlan plan;
  private final DelegationCodec codec = new DelegationCodec();
  private Set<InstanceId> memberIds = Set.of();
  private FleetView fleet = FleetView.NONE;
  private Optional<ClockReading> releaseAt = Optional.empty();
  private boolean hasReleased;

  PeerTable(Member self, ClockReading now) {
    this.self = self;
    this.roster = new Roster(self, now);
    this.plan = new DelegationPlan(self.id());
  }

  /**
   * Adds the members of a new configuration and updates their records.
   *
   * @param members the members in the configuration
   * @param now the current time
   */
  void updateMembers(Members members, ClockReading now) {
    Set<InstanceId> ids = new HashSet<>();
    for (Member member : members.list()) {
      if (!member.id().equals(self.id())) {
        ids.add(member.id());
        Peer peer = peers.computeIfAbsent(member.id(), id -> new Peer(member, now));
        if (!supersedesRecord(peer, member, now)) {
          peer.member = member;
        }
      }
    }
    memberIds = ids;
  }

  // A restarted instance introduces itself before its join is in the log, and can't join while the
  // log is unavailable. The record of its previous incarnation must not displace it.
  private static boolean supersedesRecord(Peer peer, Member recorded, ClockReading now) {
    return peer.introduced
        && peer.member.incarnation() != recorded.incarnation()
        && now.since(peer.lastHeardAt).compareTo(NON_MEMBER_RETENTION) <= 0;
  }

  /**
   * Records the hello message of an instance.
   *
   * @param member the instance as it describes itself
   * @param now the current time
   * @return whether this incarnation had not introduced itself before
   */
  boolean recordIntroduction(Member member, ClockReading now) {
    if (member.id().equals(self.id())) {
      return false;
    }
    Peer peer = peers.computeIfAbsent(member.id(), id -> new Peer(member, now));
    boolean isNew = !peer.introduced || peer.member.incarnation() != member.incarnation();
    if (peer.member.incarnation() != member.incarnation()) {
      peer.lastReceivedSequence = 0;
      peer.released = false;
    }
    peer.member = member;
    peer.introduced = true;
    peer.lastHeardAt = now;
    roster.add(member, now);
    return isNew;
  }

  /**
   * Adds an instance learned from the directory or from another peer.
   *
   * <p>An existing entry stays unchanged, because a peer's own introduction takes precedence.
   *
   * @param member the instance
   * @param now the current time
   * @return whether the instance was unknown
   */
  boolean discover(Member member, ClockReading now) {
    if (member.id().equals(self.id()) || peers.containsKey(member.id())) {
      return false;
    }
    peers.put(member.id(), new Peer(member, now));
    roster.add(member, now);
    return true;
  }

  /**
   * Adds all instances listed in the directory to the table and to the roster.
   *
   * @param members the other instances
   * @param containsSelf whether the directory lists this instance
   * @param now the current time
   * @return whether any of them was unknown
   */
  boolean applyDirectory(List<Member> members, boolean containsSelf, ClockReading now) {
    boolean isNew = false;
    for (Member member : members) {
      isNew |= discover(member, now);
    }
    roster.applyDirectory(members, containsSelf, now);
    return isNew;
  }

  /**
   * Removes an instance that is no longer in the directory from the roster.
   *
   * @param id the instance
   */
  void removeFromRoster(InstanceId id) {
    roster.remove(id);
  }

  /**
   * Merges the peers known to another instance.
   *
   * <p>A complete list stands in for the directory only until this instance has a complete roster;
   * a directory that this instance has read takes precedence.
   *
   * @param peerList the peers known to the sender
   * @param now the current time
   * @return whether any of them was unknown
   */
  boolean mergePeerList(PeerMessages.PeerList peerList, ClockReading now) {
    List<Member> members = peerList.peers().stream().map(PeerMessages.Hello::member).toList();
    if (peerList.complete() && !roster.isDirectoryKnown()) {
      return applyDirectory(members, peerList.registered(), now);
    }
    boolean isNew = false;
    for (Member member : members) {
      isNew |= discover(member, now);
    }
    return isNew;
  }

  /**
   * Returns whether this instance may use its share of the rates.
   *
   * @return whether the share is usable, which implies that this instance knows every other
   *     instance that may use a share
   */
  boolean isShareUsable() {
    return roster.isShareUsable();
  }

  /** Returns whether a peer is known to be listed in the directory. */
  boolean isRegistered(InstanceId id) {
    return roster.isRegistered(id);
  }

  /** Returns the latest description of every known peer. */
  List<Member> members() {
    return peers.values().stream().map(peer -> peer.member).toList();
  }

  /**
   * Creates the next heartbeat for a peer and remembers it so that its echo can be matched.
   *
   * @param id the peer
   * @param offset the offset up to which this instance has applied the configuration log
   * @param delegation the encoded delegation of this instance
   * @param now the current time
   * @return the heartbeat, or empty if the peer is unknown
   */
  Optional<PeerMessages.Heartbeat> nextHeartbeat(
      InstanceId id, long offset, byte[] delegation, ClockReading now) {
    Peer peer = peers.get(id);
    if (peer == null) {
      return Optional.empty();
    }
    peer.lastSentSequence++;
    peer.sentHeartbeats.addLast(new SentHeartbeat(peer.lastSentSequence, plan.version(), now));
    if (peer.sentHeartbeats.size() > MAX_SENT_HEARTBEATS) {
      peer.sentHeartbeats.removeFirst();
    }
    return Optional.of(
        new PeerMessages.Heartbeat(
            peer.lastSentSequence,
            peer.member.incarnation(),
            peer.lastReceivedSequence,
            offset,
            delegation));
  }

  /** Returns this instance's delegation in the encoding that heartbeats carry. */
  byte[] encodedDelegation() {
    return codec.encode(
        new DelegationCodec.DelegationAnnouncement(
            fleet.delegation(), roster.isRegistered(), hasReleased),
        roster.members());
  }

  /**
   * Records a heartbeat and the delegation it carries.
   *
   * @param id the sender
   * @param incarnation the incarnation of the sender
   * @param heartbeat the heartbeat
   * @param ownIncarnation the incarnation of this instance
   * @param now the current time
   * @return the echo; empty if the heartbeat echoes none sent by this incarnation
   */
  Optional<EchoedHeartbeat> recordHeartbeat(
      InstanceId id,
      long incarnation,
      PeerMessages.Heartbeat heartbeat,
      long ownIncarnation,
      ClockReading now) {
    Peer peer = peers.get(id);
    if (peer == null || peer.member.incarnation() != incarnation) {
      return Optional.empty();
    }
    peer.lastHeardAt = now;
    peer.lastReceivedSequence = Math.max(peer.lastReceivedSequence, heartbeat.sequence());
    if (heartbeat.echoIncarnation() != ownIncarnation) {
      return Optional.empty();
    }
    Delegation delegation = decodeDelegation(id, heartbeat, now);
    Optional<SentHeartbeat> echoed =
        peer.sentHeartbeats.stream()
            .filter(sentHeartbeat -> sentHeartbeat.sequence() == heartbeat.echoSequence())
            .findFirst();
    return echoed.map(
        sentHeartbeat -> {
          // While this instance's heartbeats are lost, the peer keeps echoing the last one
          // received.
          peer.echoedHeartbeatSentAt = Optional.of(sentHeartbeat.sentAt());
          peer.confirmedPlanVersion =
              Math.max(peer.confirmedPlanVersion, sentHeartbeat.planVersion());
          peer.connectionLost = false;
          roster.recordAcknowledgement(id);
          roster.recordAlive(List.of(id), now);
          return new EchoedHeartbeat(sentHeartbeat.sentAt(), delegation);
        });
  }

  /**
   * Decodes the delegation in a heartbeat.
   *
   * <p>Candidates that a live peer considers alive count as seen, even if this instance does not
   * hear from them itself.
   */
  private Delegation decodeDelegation(
      InstanceId id, PeerMessages.Heartbeat heartbeat, ClockReading now) {
    Optional<DelegationCodec.DelegationAnnouncement> announcement =
        codec.decode(heartbeat.delegation(), roster.members());
    if (announcement.isEmpty()) {
      return Delegation.NONE;
    }
    if (announcement.get().registered()) {
      roster.recordRegistration(id);
    }
    Peer peer = peers.get(id);
    peer.released = announcement.get().released();
    Delegation delegation = announcement.get().delegation();
    if (!peer.announced.equals(Optional.of(delegation)) || !now.isBefore(peer.candidatesDueAt)) {
      peer.announced = Optional.of(delegation);
      peer.candidatesDueAt = now.plus(CANDIDATES_INTERVAL);
      roster.recordAlive(delegation.candidates().list().stream().map(Member::id).toList(), now);
    }
    return delegation;
  }

  /**
   * Marks the peer at an address as unreachable until its next echo, because the connection ended.
   *
   * @param address the peer address
   */
  void markConnectionLost(String address) {
    peers.values().stream()
        .filter(peer -> peer.member.peerAddress().equals(address))
        .forEach(peer -> peer.connectionLost = true);
  }

  /**
   * Returns the peers that echoed a recent heartbeat over a connection that is still open.
   *
   * @param maxEchoAge the maximum age of the last echoed heartbeat
   * @param now the current time
   * @return the reachable peers
   */
  PeerView reachablePeers(Duration maxEchoAge, ClockReading now) {
    return new PeerView(
        peers.entrySet().stream()
            .filter(
                entry ->
                    !entry.getValue().connectionLost
                        && hasEchoWithin(entry.getValue(), maxEchoAge, now))
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet()));
  }

  private static boolean hasEchoWithin(Peer peer, Duration maxAge, ClockReading now) {
    return peer.echoedHeartbeatSentAt
        .filter(at -> now.since(at).compareTo(maxAge) <= 0)
        .isPresent();
  }

  /**
   * Updates the delegation of this instance's share, which the next heartbeats announce.
   *
   * @param now the current time
   * @return how the limits of the fleet are divided
   */
  FleetView updateFleet(ClockReading now) {
    List<Peer> answering =
        peers.values().stream()
            .filter(
                peer ->
                    hasEchoWithin(peer, DelegationPlan.LEASE_EXPIRY, now)
                        && roster.contains(peer.member.id()))
            .toList();
    roster.update(answering.size(), now);
    int shares = roster.isShareUsable() ? roster.size() : 0;
    fleet =
        new FleetView(
            plan.update(holderCandidates(answering, now), id -> planState(id, now), shares, now),
            roster.size(),
            roster.awaitsRegistration(),
            roster.findDeparted(answering.size(), now));
    return fleet;
  }

  /**
   * Selects the candidate holders, without instances that have released their delegations.
   *
   * <p>If this instance is stopping, it releases its delegations only once another holder exists.
   */
  private List<Member> holderCandidates(List<Peer> answering, ClockReading now) {
    List<Member> holders = new ArrayList<>();
    answering.stream().filter(peer -> !peer.released).forEach(peer -> holders.add(peer.member));
    hasReleased = releaseAt.filter(at -> !now.isBefore(at)).isPresent() && !holders.isEmpty();
    if (!hasReleased) {
      holders.add(self);
    }
    return holders;
  }

  private Optional<DelegationPlan.PeerState> planState(InstanceId id, ClockReading now) {
    return id.equals(self.id())
        ? Optional.of(new DelegationPlan.PeerState(now, plan.version(), hasReleased))
        : Optional.ofNullable(peers.get(id)).map(Peer::planState);
  }

  /**
   * Schedules the release of all delegations held by this instance, because it is stopping.
   *
   * @param now the current time
   */
  void scheduleRelease(ClockReading now) {
    // The token issuer on this instance must stop using the delegations before peers learn of it.
    releaseAt = releaseAt.or(() -> Optional.of(now.plus(DelegationPlan.MAX_APPLY_DELAY)));
  }

  /**
   * Removes instances that are not members and have been silent for {@link #NON_MEMBER_RETENTION}.
   *
   * <p>Instances counted by a complete roster stay, since they may still use their shares.
   *
   * @param now the current time
   */
  void removeSilentNonMembers(ClockReading now) {
    peers
        .entrySet()
        .removeIf(
            entry ->
                !memberIds.contains(entry.getKey())
                    && !(roster.isDirectoryKnown() && roster.contains(entry.getKey()))
                    && now.since(entry.getValue().lastHeardAt).compareTo(NON_MEMBER_RETENTION) > 0);
  }

  /** Returns the latest description of a peer, or empty if the peer is unknown. */
  Optional<Member> find(InstanceId id) {
    return Optional.ofNullable(peers.get(id)).map(peer -> peer.member);
  }

  /** Returns the peer address of every known peer. */
  Map<InstanceId, String> addresses() {
    Map<InstanceId, String> addresses = new HashMap<>();
    peers.forEach((id, peer) -> addresses.put(id, peer.member.peerAddress()));
    return addresses;
  }
}
