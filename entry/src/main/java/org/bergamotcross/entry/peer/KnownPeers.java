package org.bergamotcross.entry.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.core.membership.Roster;
import org.bergamotcross.kernel.ClockReading;

/**
 * Keeps the known peers, from the configuration, the directory of instances, the peers' own
 * introductions, and those that others pass on.
 *
 * <p>A peer is a member, a seed from the settings, or an instance that has introduced itself and
 * sent a message within {@link #NON_MEMBER_RETENTION}. All methods run on the exchange duty.
 */
final class KnownPeers {
  /** How long a silent instance that is not a member stays known. */
  static final Duration NON_MEMBER_RETENTION = Duration.ofSeconds(30);

  private final Member self;
  private final Roster roster;
  private final RelaySelection relays;
  private final Duration maxEchoAge;
  private final Map<InstanceId, Peer> peers = new HashMap<>();
  private final Set<InstanceId> news = new LinkedHashSet<>();
  private final Set<InstanceId> newsForSubscribers = new LinkedHashSet<>();
  private Set<InstanceId> memberIds = Set.of();

  /**
   * Creates an empty set of peers.
   *
   * @param self the local instance
   * @param roster counts the instances
   * @param relays the relays of the fleet
   * @param maxEchoAge how long a peer is reachable after the last heartbeat that it echoed was sent
   */
  KnownPeers(Member self, Roster roster, RelaySelection relays, Duration maxEchoAge) {
    this.self = self;
    this.roster = roster;
    this.relays = relays;
    this.maxEchoAge = maxEchoAge;
  }

  /** Returns the peers by id; the map can't be changed. */
  Map<InstanceId, Peer> byId() {
    return Collections.unmodifiableMap(peers);
  }

  /** Returns all peers. */
  Collection<Peer> all() {
    return byId().values();
  }

  /** Returns what is known about a peer. */
  Optional<Peer> peer(InstanceId id) {
    return Optional.ofNullable(peers.get(id));
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
        Peer peer = peers.computeIfAbsent(member.id(), id -> new Peer(member, 0, now));
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
   * @param hello the instance as it describes itself
   * @param now the current time
   * @return whether this incarnation had not introduced itself before
   */
  boolean recordIntroduction(PeerMessages.Hello hello, ClockReading now) {
    Member member = hello.member();
    if (member.id().equals(self.id())) {
      return false;
    }
    boolean isNews =
        find(member.id()).filter(k -> k.incarnation() == member.incarnation()).isEmpty();
    Peer peer = peers.computeIfAbsent(member.id(), id -> new Peer(member, hello.capacity(), now));
    boolean isNew = !peer.introduced || peer.member.incarnation() != member.incarnation();
    replaceIncarnation(peer, member);
    peer.capacity = hello.capacity();
    peer.canRelay = hello.canRelay();
    peer.introduced = true;
    peer.introducedAt = Optional.of(now);
    peer.lastHeardAt = now;
    if (isNew) {
      peer.updateFlags(hello.onDemand() ? LinkFlags.NONE : LinkFlags.INTRODUCED);
    }
    roster.add(member, now);
    if (isNews && !relays.view().isFullMesh()) {
      news.add(member.id());
    }
    return isNew;
  }

  private static void replaceIncarnation(Peer peer, Member member) {
    if (peer.member.incarnation() != member.incarnation()) {
      peer.lastReceivedSequence = 0;
      peer.released = false;
      peer.introduced = false;
      peer.digest = 0;
      peer.report = Optional.empty();
    }
    peer.member = member;
  }

  /**
   * Merges introductions that another instance passes on.
   *
   * @param from the instance that passes them on
   * @param instances the introduced instances
   * @param now the current time
   * @return the instances of which a new incarnation was learned, and from whose previous one this
   *     instance may hold a delegation
   */
  List<InstanceId> mergeIntroductions(
      InstanceId from, List<PeerMessages.Hello> instances, ClockReading now) {
    List<InstanceId> restarted = new ArrayList<>();
    for (PeerMessages.Hello hello : instances) {
      Optional<Peer> known = Optional.ofNullable(peers.get(new InstanceId(hello.id())));
      boolean mayHoldDelegation =
          known.filter(p -> p.hasEchoWithin(NON_MEMBER_RETENTION, now)).isPresent();
      if (merge(hello, now)) {
        passOn(from, hello, now);
        if (mayHoldDelegation) {
          restarted.add(new InstanceId(hello.id()));
        }
      }
    }
    return restarted;
  }

  /** An instance that relays passes on what it learned, but not from one relay to the next. */
  private void passOn(InstanceId from, PeerMessages.Hello hello, ClockReading now) {
    if (relays.isRelaying()) {
      (isRelay(from, now) ? newsForSubscribers : news).add(new InstanceId(hello.id()));
    }
  }

  /**
   * Merges the description of an instance. Of two incarnations, the one that introduced itself
   * later is the current one.
   *
   * @return whether the instance or its incarnation was unknown
   */
  private boolean merge(PeerMessages.Hello hello, ClockReading now) {
    Member member = hello.member();
    Peer peer = peers.get(member.id());
    Optional<ClockReading> introducedAt =
        hello.ageMs().map(age -> now.plus(Duration.ofMillis(age).negated()));
    if (peer == null) {
      boolean isNew = discover(member, now);
      if (isNew) {
        describe(peers.get(member.id()), hello, introducedAt);
      }
      return isNew;
    }
    if (peer.member.incarnation() == member.incarnation()) {
      if (peer.introducedAt.isEmpty()) {
        describe(peer, hello, introducedAt);
      }
      return false;
    }
    boolean isLater =
        introducedAt
            .filter(at -> peer.introducedAt.filter(known -> !known.isBefore(at)).isEmpty())
            .isPresent();
    if (isLater) {
      replaceIncarnation(peer, member);
      describe(peer, hello, introducedAt);
      roster.add(member, now);
    }
    return isLater;
  }

  // An entry without a time is from the directory or from an instance of an older version, and says
  // nothing about capacities and versions.
  private static void describe(
      Peer peer, PeerMessages.Hello hello, Optional<ClockReading> introducedAt) {
    if (introducedAt.isPresent()) {
      peer.introducedAt = introducedAt;
      peer.capacity = hello.capacity();
      peer.canRelay = hello.canRelay();
    }
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
    peers.put(member.id(), new Peer(member, 0, now));
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
   * @param from the sender
   * @param peerList the peers known to the sender
   * @param now the current time
   * @return whether any of them was unknown
   */
  boolean mergePeerList(InstanceId from, PeerMessages.PeerList peerList, ClockReading now) {
    boolean isNew = false;
    for (PeerMessages.Hello hello : peerList.peers()) {
      if (merge(hello, now)) {
        isNew = true;
        passOn(from, hello, now);
      }
    }
    if (peerList.complete() && !roster.isDirectoryKnown()) {
      List<Member> members = peerList.peers().stream().map(PeerMessages.Hello::member).toList();
      isNew |= applyDirectory(members, peerList.registered(), now);
    }
    return isNew;
  }

  /** Returns the list of all known peers for another instance. */
  PeerMessages.PeerList peerList(InstanceId receiver, ClockReading now) {
    List<PeerMessages.Hello> known =
        peers.values().stream()
            .filter(peer -> !peer.id().equals(receiver))
            .map(peer -> describe(peer, now))
            .toList();
    return new PeerMessages.PeerList(known, roster.isShareUsable(), roster.isRegistered(receiver));
  }

  private static PeerMessages.Hello describe(Peer peer, ClockReading now) {
    return PeerMessages.Hello.ofListed(
        peer.member, peer.capacity, peer.canRelay, peer.introducedAt.map(now::since));
  }

  /**
   * Removes the introductions to pass on.
   *
   * @param now the current time
   * @return the introductions by receiver
   */
  Map<InstanceId, PeerMessages.Introductions> takeIntroductions(ClockReading now) {
    if (news.isEmpty() && newsForSubscribers.isEmpty()) {
      return Map.of();
    }
    Map<InstanceId, PeerMessages.Introductions> sent = new HashMap<>();
    if (relays.isRelaying()) {
      addIntroductions(relayNeighbours(now), news, sent, now);
      newsForSubscribers.addAll(news);
      addIntroductions(subscriberNeighbours(now), newsForSubscribers, sent, now);
      addIntroductions(futureSubscribers(now), newsForSubscribers, sent, now);
    } else if (relays.primary().isPresent()) {
      addIntroductions(List.of(relays.primary().get().id()), news, sent, now);
    } else {
      return Map.of();
    }
    news.clear();
    newsForSubscribers.clear();
    return sent;
  }

  /** Returns the peers that count too few instances so far to use relays. */
  private List<InstanceId> futureSubscribers(ClockReading now) {
    return neighbours(peer -> peer.canRelay && peer.isInFullMesh(maxEchoAge, now));
  }

  private void addIntroductions(
      List<InstanceId> receivers,
      Set<InstanceId> introduced,
      Map<InstanceId, PeerMessages.Introductions> sent,
      ClockReading now) {
    List<PeerMessages.Hello> instances =
        introduced.stream()
            .filter(peers::containsKey)
            .map(id -> describe(peers.get(id), now))
            .toList();
    if (!instances.isEmpty()) {
      PeerMessages.Introductions message = new PeerMessages.Introductions(instances);
      receivers.forEach(receiver -> sent.put(receiver, message));
    }
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
                    && !((roster.isDirectoryKnown() || !relays.view().isFullMesh())
                        && roster.contains(entry.getKey()))
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

  /** Returns whether a peer relays, by the view of either side. */
  boolean isRelay(InstanceId id, ClockReading now) {
    return Optional.ofNullable(peers.get(id)).filter(p -> relays.isRelay(p, now)).isPresent();
  }

  /** Returns the linked peers that relay. */
  List<InstanceId> relayNeighbours(ClockReading now) {
    return neighbours(peer -> relays.isRelay(peer, now));
  }

  /** Returns the peers to which this instance relays. */
  List<InstanceId> subscriberNeighbours(ClockReading now) {
    return neighbours(peer -> relays.isPrimarySubscriber(peer, now));
  }

  /** Returns the peers that use no relays, to which each instance sends its own messages. */
  List<InstanceId> fullMeshNeighbours(ClockReading now) {
    return neighbours(peer -> peer.isInFullMesh(maxEchoAge, now));
  }

  private List<InstanceId> neighbours(Predicate<Peer> filter) {
    return peers.values().stream().filter(filter).map(Peer::id).toList();
  }
}
