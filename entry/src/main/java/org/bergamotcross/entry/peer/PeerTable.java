package org.bergamotcross.entry.peer;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.core.membership.PeerView;
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

  /** How long a silent peer may still use its part of the fleet's limits. */
  static final Duration KNOWN_RETENTION = Duration.ofSeconds(6);

  // 32 beats of 500 ms cover 16 s, more than five times the time for which an echo counts.
  private static final int SENT_BEATS = 32;

  private record SentBeat(long sequence, Now at) {}

  private static final class Peer {
    Member member;
    Now heardAt;
    boolean introduced;
    long heardSequence;
    long sentSequence;
    Optional<Now> echoedAt = Optional.empty();
    final Deque<SentBeat> sent = new ArrayDeque<>();

    Peer(Member member, Now heardAt) {
      this.member = member;
      this.heardAt = heardAt;
    }
  }

  private final InstanceId self;
  private final Map<InstanceId, Peer> peers = new HashMap<>();
  private Set<InstanceId> memberIds = Set.of();

  PeerTable(InstanceId self) {
    this.self = self;
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
      if (!member.id().equals(self)) {
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
   */
  void introduce(Member member, Now now) {
    if (member.id().equals(self)) {
      return;
    }
    Peer peer = peers.computeIfAbsent(member.id(), id -> new Peer(member, now));
    if (peer.member.incarnation() != member.incarnation()) {
      peer.heardSequence = 0;
    }
    peer.member = member;
    peer.introduced = true;
    peer.heardAt = now;
  }

  /**
   * Takes an instance that somebody else names; what it says of itself goes before.
   *
   * @param member the instance
   * @param now the present time
   * @return whether it was unknown
   */
  boolean find(Member member, Now now) {
    if (member.id().equals(self) || peers.containsKey(member.id())) {
      return false;
    }
    peers.put(member.id(), new Peer(member, now));
    return true;
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
   * @param epoch the epoch of the members
   * @param now the present time
   * @return the beat, or nothing when the peer is unknown
   */
  Optional<PeerMessages.Beat> nextBeat(InstanceId id, long offset, long epoch, Now now) {
    Peer peer = peers.get(id);
    if (peer == null) {
      return Optional.empty();
    }
    peer.sentSequence++;
    peer.sent.addLast(new SentBeat(peer.sentSequence, now));
    if (peer.sent.size() > SENT_BEATS) {
      peer.sent.removeFirst();
    }
    return Optional.of(
        new PeerMessages.Beat(
            peer.sentSequence, peer.member.incarnation(), peer.heardSequence, offset, epoch));
  }

  /**
   * Takes a beat.
   *
   * @param id the sender
   * @param incarnation the incarnation of the sender
   * @param beat the beat
   * @param ownIncarnation the incarnation of this instance
   * @param now the present time
   * @return when the echoed beat was sent; nothing when it echoes none of this incarnation
   */
  Optional<Now> heard(
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
    Optional<Now> sentAt =
        peer.sent.stream()
            .filter(sent -> sent.sequence() == beat.echoSequence())
            .map(SentBeat::at)
            .findFirst();
    sentAt.ifPresent(at -> peer.echoedAt = Optional.of(now));
    return sentAt;
  }

  /**
   * Notes that a peer has ended: its address refuses connections.
   *
   * @param address the address
   */
  void ended(String address) {
    peers.values().stream()
        .filter(peer -> peer.member.peerAddress().equals(address))
        .forEach(peer -> peer.echoedAt = Optional.empty());
  }

  /**
   * Returns which peers answer.
   *
   * @param heardWithin the age of the last echo of a peer that is heard
   * @param now the present time
   * @return the peers
   */
  PeerView view(Duration heardWithin, Now now) {
    Set<InstanceId> heard = new HashSet<>();
    int known = 0;
    for (Map.Entry<InstanceId, Peer> entry : peers.entrySet()) {
      Optional<Duration> age = entry.getValue().echoedAt.map(now::since);
      if (age.filter(a -> a.compareTo(heardWithin) <= 0).isPresent()) {
        heard.add(entry.getKey());
      }
      known += age.filter(a -> a.compareTo(KNOWN_RETENTION) <= 0).isPresent() ? 1 : 0;
    }
    return new PeerView(heard, known);
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
