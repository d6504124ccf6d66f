package org.bergamotcross.entry.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
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
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.core.membership.Roster;
import org.bergamotcross.kernel.ClockReading;

/**
 * Tracks the heartbeats and echoes of the known peers, the links to them, and the delegations
 * exchanged with them. All methods run on the exchange duty.
 */
final class PeerTable {
  // The roster counts silence in hours, and each heartbeat names nearly all instances.
  private static final Duration CANDIDATES_INTERVAL = Duration.ofSeconds(10);

  /**
   * A peer's echo of a heartbeat that this instance sent.
   *
   * @param heartbeatSentAt when this instance sent the echoed heartbeat
   * @param delegation the peer's delegation of its share of each rate
   */
  record EchoedHeartbeat(ClockReading heartbeatSentAt, Delegation delegation) {}

  private final Member self;
  private final KnownPeers peers;
  private final Roster roster;
  private final RosterAgreement agreement;
  private final RelaySelection relays;
  private final Duration maxEchoAge;
  private final DelegationPlan plan;
  private final DelegationCodec codec = new DelegationCodec();
  private FleetView fleet = FleetView.NONE;
  private Optional<ClockReading> releaseAt = Optional.empty();
  private boolean hasReleased;
  private long announcedDigest;

  /**
   * Creates a table without peers.
   *
   * @param self the local instance
   * @param capacity the capacity of its processor and link
   * @param fullMeshLimit the maximum number of counted instances that all keep links to each other
   * @param maxEchoAge how long a peer is reachable after the last heartbeat that it echoed was sent
   * @param now the current time
   */
  PeerTable(Member self, int capacity, int fullMeshLimit, Duration maxEchoAge, ClockReading now) {
    this.self = self;
    this.maxEchoAge = maxEchoAge;
    this.roster = new Roster(self, now);
    this.agreement = new RosterAgreement(roster, self.id(), now);
    this.relays = new RelaySelection(self, capacity, fullMeshLimit, maxEchoAge);
    this.peers = new KnownPeers(self, roster, relays, maxEchoAge);
    this.plan = new DelegationPlan(self.id());
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
    Optional<Peer> known = peers.peer(id);
    if (known.isEmpty()) {
      return Optional.empty();
    }
    Peer peer = known.get();
    peer.recordSent(plan.version(), now);
    boolean isFullMesh = relays.view().isFullMesh();
    return Optional.of(
        new PeerMessages.Heartbeat(
            peer.lastSentSequence,
            peer.member.incarnation(),
            peer.lastReceivedSequence,
            offset,
            delegation,
            relays.flags(id).bits(),
            isFullMesh ? 0 : agreement.digest(now),
            relays.isReporting() ? agreement.reportFor(peer, now) : new byte[0]));
  }

  /** Returns this instance's delegation in the encoding that heartbeats carry. */
  byte[] encodedDelegation() {
    return codec.encode(
        new DelegationCodec.DelegationAnnouncement(
            fleet.delegation(), roster.isRegistered(), hasReleased),
        roster.members(),
        !relays.view().isFullMesh());
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
    Optional<Peer> known = peers.peer(id);
    if (known.filter(p -> p.member.incarnation() == incarnation).isEmpty()) {
      return Optional.empty();
    }
    Peer peer = known.get();
    peer.lastHeardAt = now;
    peer.lastReceivedSequence = Math.max(peer.lastReceivedSequence, heartbeat.sequence());
    peer.updateFlags(new LinkFlags(heartbeat.flags()));
    agreement.record(peer, heartbeat, now);
    if (heartbeat.echoIncarnation() != ownIncarnation) {
      return Optional.empty();
    }
    Delegation delegation = decodeDelegation(peer, heartbeat, now);
    Optional<Peer.SentHeartbeat> echoed = peer.findSent(heartbeat.echoSequence());
    return echoed.map(
        sentHeartbeat -> {
          // While this instance's heartbeats are lost, the peer keeps echoing the last one
          // received.
          peer.recordEcho(sentHeartbeat.sentAt());
          peer.confirmedPlanVersion =
              Math.max(peer.confirmedPlanVersion, sentHeartbeat.planVersion());
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
      Peer peer, PeerMessages.Heartbeat heartbeat, ClockReading now) {
    Optional<DelegationCodec.DelegationAnnouncement> announcement =
        codec.decode(heartbeat.delegation(), roster.members());
    if (announcement.isEmpty()) {
      return Delegation.NONE;
    }
    if (announcement.get().registered()) {
      roster.recordRegistration(peer.id());
    }
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
   * @param now the current time
   */
  void recordLinkEnded(String address, ClockReading now) {
    peersAt(address).forEach(peer -> peer.recordLinkEnded(now));
  }

  /**
   * Records that a connection to an address is being opened.
   *
   * @param address the peer address
   * @param now the current time
   * @return whether this instance needs the link for itself
   */
  boolean recordLinkOpened(String address, ClockReading now) {
    List<Peer> opened = peersAt(address);
    opened.forEach(peer -> peer.recordLinkOpened(now));
    return opened.isEmpty() || opened.stream().anyMatch(peer -> relays.wants(peer.id()));
  }

  private List<Peer> peersAt(String address) {
    return peers.all().stream().filter(peer -> peer.member.peerAddress().equals(address)).toList();
  }

  /**
   * Updates the relays, the links that follow from them, and what this instance reports as a relay.
   *
   * @param now the current time
   * @return whether peers must learn of a change at once
   */
  RelayUpdate updateRelays(ClockReading now) {
    boolean isChanged = relays.update(roster.members(), peers.byId(), hasReleased, now);
    if (relays.view().isFullMesh()) {
      return new RelayUpdate(isChanged, isChanged);
    }
    long digest = agreement.digest(now);
    boolean isDigestChanged = digest != announcedDigest;
    announcedDigest = digest;
    if (isDigestChanged) {
      agreement.reapplyReports(peers.all(), now);
    }
    boolean isAgreed =
        relays.isReporting() && agreement.updateOwnReport(peers.byId(), maxEchoAge, now);
    return new RelayUpdate(
        isChanged, isChanged || isAgreed || (isDigestChanged && !relays.isRelaying()));
  }

  /**
   * What changed about the relays.
   *
   * @param isChanged whether the relays, the own role or the primary relay have changed
   * @param isUrgent whether the linked peers are to be sent heartbeats at once
   */
  record RelayUpdate(boolean isChanged, boolean isUrgent) {}

  /** Returns the known peers. */
  KnownPeers known() {
    return peers;
  }

  /** Returns the relays of the fleet and this instance's part in relaying. */
  RelaySelection relays() {
    return relays;
  }

  /** Returns the peer addresses of the instances to which there is to be a link. */
  Map<InstanceId, String> linkedAddresses(ClockReading now) {
    Map<InstanceId, String> addresses = new HashMap<>();
    for (Peer peer : peers.all()) {
      if (relays.isLinked(peer, now)) {
        addresses.put(peer.id(), peer.member.peerAddress());
      }
    }
    return addresses;
  }

  /** Returns whether any relay answers, or none is needed. */
  boolean isRelayReachable(ClockReading now) {
    return relays.view().isFullMesh()
        || peers.all().stream()
            .anyMatch(p -> relays.view().contains(p.id()) && p.isReachable(maxEchoAge, now));
  }

  /** Returns the counted instances, including this one. */
  List<Member> counted() {
    return roster.members();
  }

  /** Returns whether a peer is to be sent a list of the known peers, because rosters differ. */
  boolean isPeerListDue(InstanceId id, ClockReading now) {
    return !relays.view().isFullMesh()
        && peers
            .peer(id)
            .filter(peer -> isListPartner(peer, now) && agreement.isPeerListDue(peer, now))
            .isPresent();
  }

  // A peer that counts too few instances to use relays learns of the others from each relay.
  private boolean isListPartner(Peer peer, ClockReading now) {
    if (peer.isInFullMesh(maxEchoAge, now)) {
      return peer.canRelay && relays.isRelaying();
    }
    return relays.primary().filter(relay -> relay.id().equals(peer.id())).isPresent()
        || relays.isPrimarySubscriber(peer, now)
        || (relays.isRelaying() && relays.isRelay(peer, now));
  }

  /**
   * Returns the peers that echoed a recent heartbeat over a connection that is still open.
   *
   * @param now the current time
   * @return the reachable peers
   */
  PeerView reachablePeers(ClockReading now) {
    Set<InstanceId> reachable =
        peers.all().stream()
            .filter(peer -> peer.isReachable(maxEchoAge, now))
            .map(Peer::id)
            .collect(Collectors.toSet());
    return new PeerView(reachable, relays.view());
  }

  /**
   * Updates the delegation of this instance's share, which the next heartbeats announce.
   *
   * @param now the current time
   * @return how the limits of the fleet are divided
   */
  FleetView updateFleet(ClockReading now) {
    List<Peer> answering =
        peers.all().stream()
            .filter(
                peer ->
                    peer.hasEchoWithin(DelegationPlan.LEASE_EXPIRY, now)
                        && roster.contains(peer.member.id()))
            .toList();
    int answeringCount =
        relays.view().isFullMesh() ? answering.size() : agreement.countAnswering(answering, now);
    roster.update(answeringCount, now);
    int shares = roster.isShareUsable() ? roster.size() : 0;
    fleet =
        new FleetView(
            plan.update(holderCandidates(answering, now), id -> planState(id, now), shares, now),
            roster.size(),
            roster.awaitsRegistration(),
            roster.findDeparted(answeringCount, now));
    return fleet;
  }

  /**
   * Selects the candidate holders, without instances that have released their delegations. Where
   * there are relays and one of them answers, only relays are candidates, because instances keep
   * links to these only.
   *
   * <p>If this instance is stopping, it releases its delegations only once another holder exists.
   */
  private List<Member> holderCandidates(List<Peer> answering, ClockReading now) {
    List<Member> others =
        answering.stream().filter(peer -> !peer.released).map(peer -> peer.member).toList();
    List<Member> otherRelays =
        others.stream().filter(member -> relays.view().contains(member.id())).toList();
    boolean isHolder = otherRelays.isEmpty() || relays.view().contains(self.id());
    List<Member> holders = new ArrayList<>(otherRelays.isEmpty() ? others : otherRelays);
    hasReleased = releaseAt.filter(at -> !now.isBefore(at)).isPresent() && !holders.isEmpty();
    if (!hasReleased && isHolder) {
      holders.add(self);
    }
    return holders;
  }

  private Optional<DelegationPlan.PeerState> planState(InstanceId id, ClockReading now) {
    return id.equals(self.id())
        ? Optional.of(new DelegationPlan.PeerState(now, plan.version(), hasReleased))
        : peers.peer(id).map(Peer::planState);
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
}
