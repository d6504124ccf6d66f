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
import org.bergamotcross.kernel.Now;

/**
 * Keeps which peers this instance talks to and when it was last heard by them.
 *
 * <p>A peer is a member, a seed of the settings, or an instance that has introduced itself and was
 * heard within {@link #STRANGER_RETENTION}. All methods run on the exchange duty.
 */
final class PeerTable {
  /** How long an instance that is no member stays known without being heard. */
  static final Duration STRANGER_RETENTION = Duration.ofSeconds(30);

  // 32 beats of 500 ms cover 16 s, more than five times the time for which an echo counts.
  private static final int SENT_BEATS = 32;

  private record SentBeat(long sequence, long planVersion, Now at) {}

  /**
   * An answer of a peer to a beat of this instance.
   *
   * @param beatSentAt when the beat that is echoed was sent
   * @param delegation to whom the peer delegates its share of each rate
   */
  record Echo(Now beatSentAt, Delegation delegation) {}

  private static final class Peer {
    Member member;
    Now heardAt;
    boolean introduced;
    long heardSequence;
    long sentSequence;
    Optional<Now> echoedAt = Optional.empty();
    long confirmed;
    boolean ended;
    boolean released;
    final Deque<SentBeat> sent = new ArrayDeque<>();

    Peer(Member member, Now heardAt) {
      this.member = member;
      this.heardAt = heardAt;
    }

    DelegationPlan.PeerState state() {
      return new DelegationPlan.PeerState(heardAt, confirmed, released);
    }
  }

  private final Member self;
  private final Map<InstanceId, Peer> peers = new HashMap<>();
  private final Roster roster;
  private final DelegationPlan plan;
  private final DelegationCodec codec = new DelegationCodec();
  private Set<InstanceId> memberIds = Set.of();
  private FleetView fleet = FleetView.NONE;
  private Optional<Now> releaseAt = Optional.empty();
  private boolean hasReleased;

  PeerTable(Member self, Now now) {
    this.self = self;
    this.roster = new Roster(self, now);
    this.plan = new DelegationPlan(self.id());
  }

  /**
   * Takes the members of a new configuration.
   *
   * @param members the members
   * @param now the present time
   */
  void update(Members members, Now now) {
    Set<InstanceId> ids = new HashSet<>();
    for (Member member : members.list()) {
      if (!member.id().equals(self.id())) {
        ids.add(member.id());
        Peer peer = peers.computeIfAbsent(member.id(), id -> new Peer(member, now));
        if (!isReplacedBy(peer, member, now)) {
          peer.member = member;
        }
      }
    }
    memberIds = ids;
  }

  // A restarted instance introduces itself before its join is in the log, and can't join while the
  // log is unavailable; the record of its predecessor must not silence it.
  private static boolean isReplacedBy(Peer peer, Member recorded, Now now) {
    return peer.introduced
        && peer.member.incarnation() != recorded.incarnation()
        && now.since(peer.heardAt).compareTo(STRANGER_RETENTION) <= 0;
  }

  /**
   * Takes the introduction of an instance.
   *
   * @param member what it says of itself
   * @param now the present time
   * @return whether its process was unknown
   */
  boolean introduce(Member member, Now now) {
    if (member.id().equals(self.id())) {
      return false;
    }
    Peer peer = peers.computeIfAbsent(member.id(), id -> new Peer(member, now));
    boolean isNew = !peer.introduced || peer.member.incarnation() != member.incarnation();
    if (peer.member.incarnation() != member.incarnation()) {
      peer.heardSequence = 0;
      peer.released = false;
    }
    peer.member = member;
    peer.introduced = true;
    peer.heardAt = now;
    roster.add(member, now);
    return isNew;
  }

  /**
   * Takes an instance that somebody else names; what it says of itself goes before.
   *
   * @param member the instance
   * @param now the present time
   * @return whether it was unknown
   */
  boolean find(Member member, Now now) {
    if (member.id().equals(self.id()) || peers.containsKey(member.id())) {
      return false;
    }
    peers.put(member.id(), new Peer(member, now));
    roster.add(member, now);
    return true;
  }

  /**
   * Counts all instances of the directory.
   *
   * @param members the other instances
   * @param hasSelf whether the directory names this instance
   * @param now the present time
   * @return whether one of them was unknown
   */
  boolean list(List<Member> members, boolean hasSelf, Now now) {
    boolean isNew = false;
    for (Member member : members) {
      isNew |= find(member, now);
    }
    roster.complete(members, hasSelf, now);
    return isNew;
  }

  /**
   * Stops counting an instance that was removed from the directory.
   *
   * @param id the instance
   */
  void remove(InstanceId id) {
    roster.remove(id);
  }

  /**
   * Takes the peers that another instance knows; what the directory itself said goes before.
   *
   * @param told what it knows
   * @param now the present time
   * @return whether one of them was unknown
   */
  boolean told(PeerMessages.Peers told, Now now) {
    List<Member> members = told.peers().stream().map(PeerMessages.Hello::member).toList();
    if (told.complete() && !roster.isComplete()) {
      return list(members, told.registered(), now);
    }
    boolean isNew = false;
    for (Member member : members) {
      isNew |= find(member, now);
    }
    return isNew;
  }

  /**
   * Tells whether this instance may use its share; then it knows all others that may.
   *
   * @return whether its peers can rely on the instances that it knows
   */
  boolean isShareUsable() {
    return roster.isShareUsable();
  }

  /**
   * Tells whether a peer is known to be in the directory.
   *
   * @param id the peer
   * @return whether it is
   */
  boolean isRegistered(InstanceId id) {
    return roster.isRegistered(id);
  }

  /**
   * Returns what is known of all peers.
   *
   * @return the peers
   */
  List<Member> members() {
    return peers.values().stream().map(peer -> peer.member).toList();
  }

  /**
   * Makes the next beat for a peer.
   *
   * @param id the peer
   * @param offset the folded offset
   * @param now the present time
   * @return the beat, or nothing when the peer is unknown
   */
  Optional<PeerMessages.Beat> nextBeat(InstanceId id, long offset, Now now) {
    Peer peer = peers.get(id);
    if (peer == null) {
      return Optional.empty();
    }
    peer.sentSequence++;
    peer.sent.addLast(new SentBeat(peer.sentSequence, plan.version(), now));
    if (peer.sent.size() > SENT_BEATS) {
      peer.sent.removeFirst();
    }
    return Optional.of(
        new PeerMessages.Beat(
            peer.sentSequence,
            peer.member.incarnation(),
            peer.heardSequence,
            offset,
            encodedDelegation()));
  }

  /**
   * Returns the own delegation as beats carry it.
   *
   * @return the encoded form
   */
  byte[] encodedDelegation() {
    return codec.encode(
        new DelegationCodec.Told(fleet.delegation(), roster.isRegistered(), hasReleased),
        roster.members());
  }

  /**
   * Takes a beat.
   *
   * @param id the sender
   * @param incarnation the incarnation of the sender
   * @param beat the beat
   * @param ownIncarnation the incarnation of this instance
   * @param now the present time
   * @return the answer; nothing when it echoes no beat of this incarnation
   */
  Optional<Echo> heard(
      InstanceId id, long incarnation, PeerMessages.Beat beat, long ownIncarnation, Now now) {
    Peer peer = peers.get(id);
    if (peer == null || peer.member.incarnation() != incarnation) {
      return Optional.empty();
    }
    peer.heardAt = now;
    peer.heardSequence = Math.max(peer.heardSequence, beat.sequence());
    if (beat.echoIncarnation() != ownIncarnation) {
      return Optional.empty();
    }
    Delegation delegation = delegation(id, beat, now);
    Optional<SentBeat> echoed =
        peer.sent.stream().filter(sent -> sent.sequence() == beat.echoSequence()).findFirst();
    return echoed.map(
        sent -> {
          // A peer that is not reached goes on to echo the last beat that reached it.
          peer.echoedAt = Optional.of(sent.at());
          peer.confirmed = Math.max(peer.confirmed, sent.planVersion());
          peer.ended = false;
          roster.acknowledged(id);
          roster.seen(List.of(id), now);
          return new Echo(sent.at(), delegation);
        });
  }

  /** Instances that a running peer takes for running do run, even when they are not heard here. */
  private Delegation delegation(InstanceId id, PeerMessages.Beat beat, Now now) {
    Optional<DelegationCodec.Told> told = codec.decode(beat.delegation(), roster.members());
    if (told.isEmpty()) {
      return Delegation.NONE;
    }
    if (told.get().registered()) {
      roster.registered(id);
    }
    peers.get(id).released = told.get().released();
    Delegation delegation = told.get().delegation();
    roster.seen(delegation.candidates().list().stream().map(Member::id).toList(), now);
    return delegation;
  }

  /**
   * Notes that the connection to a peer has ended, so that it is not asked until it answers again.
   *
   * @param address the address
   */
  void ended(String address) {
    peers.values().stream()
        .filter(peer -> peer.member.peerAddress().equals(address))
        .forEach(peer -> peer.ended = true);
  }

  /**
   * Returns which peers answer.
   *
   * @param heardWithin the age of the last echo of a peer that is heard
   * @param now the present time
   * @return the peers
   */
  PeerView view(Duration heardWithin, Now now) {
    return new PeerView(
        peers.entrySet().stream()
            .filter(
                entry -> !entry.getValue().ended && answered(entry.getValue(), heardWithin, now))
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet()));
  }

  private static boolean answered(Peer peer, Duration within, Now now) {
    return peer.echoedAt.filter(at -> now.since(at).compareTo(within) <= 0).isPresent();
  }

  /**
   * Decides to whom this instance delegates its share; the next beats say so.
   *
   * @param now the present time
   * @return how the limits of the fleet are divided
   */
  FleetView fleet(Now now) {
    List<Peer> answering =
        peers.values().stream()
            .filter(
                peer ->
                    answered(peer, DelegationPlan.SETTLING, now) && roster.counts(peer.member.id()))
            .toList();
    roster.update(answering.size(), now);
    int shares = roster.isShareUsable() ? roster.size() : 0;
    fleet =
        new FleetView(
            plan.update(holders(answering, now), id -> state(id, now), shares, now),
            roster.size(),
            roster.awaitsRegistration(),
            roster.departed(answering.size(), now));
    return fleet;
  }

  /** A holder that stops leaves its parts to others, if there are any. */
  private List<Member> holders(List<Peer> answering, Now now) {
    List<Member> holders = new ArrayList<>();
    answering.stream().filter(peer -> !peer.released).forEach(peer -> holders.add(peer.member));
    hasReleased = releaseAt.filter(at -> !now.isBefore(at)).isPresent() && !holders.isEmpty();
    if (!hasReleased) {
      holders.add(self);
    }
    return holders;
  }

  private Optional<DelegationPlan.PeerState> state(InstanceId id, Now now) {
    return id.equals(self.id())
        ? Optional.of(new DelegationPlan.PeerState(now, plan.version(), hasReleased))
        : Optional.ofNullable(peers.get(id)).map(Peer::state);
  }

  /**
   * Notes that this instance stops, and that others shall take its place as a holder.
   *
   * @param now the present time
   */
  void stop(Now now) {
    // Whoever grants tokens here must have given up what was delegated before the peers know.
    releaseAt = releaseAt.or(() -> Optional.of(now.plus(DelegationPlan.ACTING_LIMIT)));
  }

  /**
   * Forgets instances that are no members and have been silent for long.
   *
   * @param now the present time
   */
  void forgetSilent(Now now) {
    peers
        .entrySet()
        .removeIf(
            entry ->
                !memberIds.contains(entry.getKey())
                    && !(roster.isComplete() && roster.counts(entry.getKey()))
                    && now.since(entry.getValue().heardAt).compareTo(STRANGER_RETENTION) > 0);
  }

  /**
   * Finds a peer.
   *
   * @param id the instance
   * @return what is known of it
   */
  Optional<Member> find(InstanceId id) {
    return Optional.ofNullable(peers.get(id)).map(peer -> peer.member);
  }

  /**
   * Returns the addresses of all peers.
   *
   * @return the peer addresses by instance
   */
  Map<InstanceId, String> addresses() {
    Map<InstanceId, String> addresses = new HashMap<>();
    peers.forEach((id, peer) -> addresses.put(id, peer.member.peerAddress()));
    return addresses;
  }
}
