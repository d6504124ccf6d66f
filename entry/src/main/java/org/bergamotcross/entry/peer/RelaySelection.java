package org.bergamotcross.entry.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.RelayPlan;
import org.bergamotcross.core.membership.RelayView;
import org.bergamotcross.kernel.ClockReading;

/**
 * Keeps the relays of the fleet as this instance sees them, and its own part in relaying.
 *
 * <p>An instance relays for those that take it as their primary relay, whether or not it is a relay
 * in its own view. Views may differ for a few seconds, and permanently after a partial partition.
 */
final class RelaySelection {
  private final Member self;
  private final int capacity;
  private final int fullMeshLimit;
  private final Duration maxSilence;
  private final RelayPlan plan;
  private List<RelayPlan.Candidate> candidates = List.of();
  private RelayView view = RelayView.FULL_MESH;
  private Optional<Member> primary = Optional.empty();
  private boolean isRelaying;
  private boolean hasSubscribers;

  /**
   * Creates the selection of an instance that knows no other.
   *
   * @param self the local instance
   * @param capacity its capacity
   * @param fullMeshLimit the maximum number of counted instances that need no relays
   * @param maxSilence how long a linked peer may go without an echo or a message
   */
  RelaySelection(Member self, int capacity, int fullMeshLimit, Duration maxSilence) {
    this.self = self;
    this.capacity = capacity;
    this.fullMeshLimit = fullMeshLimit;
    this.maxSilence = maxSilence;
    this.plan = new RelayPlan(fullMeshLimit);
  }

  /**
   * Selects the relays and the primary relay.
   *
   * @param counted the counted instances, including the local one
   * @param peers the known peers by id
   * @param isStopping whether the local instance is about to stop
   * @param now the current time
   * @return whether the relays, the own role or the primary relay have changed
   */
  boolean update(
      List<Member> counted, Map<InstanceId, Peer> peers, boolean isStopping, ClockReading now) {
    if (view.isFullMesh() && counted.size() <= fullMeshLimit) {
      return false;
    }
    List<RelayPlan.Candidate> next = new ArrayList<>(counted.size());
    for (Member member : counted) {
      next.add(candidate(member, Optional.ofNullable(peers.get(member.id())), isStopping, now));
    }
    RelayView before = view;
    if (!next.equals(candidates)) {
      candidates = next;
      view = plan.update(next);
      peers.values().forEach(peer -> peer.recordSelection(view.contains(peer.id()), now));
    }
    Optional<Member> primaryBefore = primary;
    primary =
        view.primary(
            self,
            id ->
                Optional.ofNullable(peers.get(id))
                    .filter(peer -> peer.isReachable(maxSilence, now))
                    .isPresent());
    boolean wasRelaying = isRelaying;
    isRelaying = view.contains(self.id()) || hasPrimarySubscriber(peers.values(), now);
    hasSubscribers = peers.values().stream().anyMatch(peer -> peer.isSubscriber(maxSilence, now));
    return !view.equals(before) || !primary.equals(primaryBefore) || isRelaying != wasRelaying;
  }

  private RelayPlan.Candidate candidate(
      Member member, Optional<Peer> peer, boolean isStopping, ClockReading now) {
    if (member.id().equals(self.id())) {
      return new RelayPlan.Candidate(member, capacity, !isStopping);
    }
    boolean isEligible = peer.filter(p -> p.updateEligibility(maxSilence, now)).isPresent();
    return new RelayPlan.Candidate(member, peer.map(p -> p.capacity).orElse(0), isEligible);
  }

  private boolean hasPrimarySubscriber(Collection<Peer> peers, ClockReading now) {
    return !view.isFullMesh()
        && peers.stream().anyMatch(peer -> peer.isPrimarySubscriber(maxSilence, now));
  }

  /** Returns the relays, or {@link RelayView#FULL_MESH}. */
  RelayView view() {
    return view;
  }

  /** Returns the relay to which this instance sends its messages to all, if it has one. */
  Optional<Member> primary() {
    return primary;
  }

  /** Returns whether this instance passes on messages of others. */
  boolean isRelaying() {
    return isRelaying;
  }

  /**
   * Returns whether this instance reports which instances answer it. The removal of a silent
   * instance relies on reports to every subscriber, also from an instance that doesn't relay.
   */
  boolean isReporting() {
    return isRelaying || hasSubscribers;
  }

  /** Returns whether this instance needs a link to a peer for itself. */
  boolean wants(InstanceId peer) {
    return view.isFullMesh() || view.contains(peer);
  }

  /** Returns whether there is to be a link to a peer, because either side wants it. */
  boolean isLinked(Peer peer, ClockReading now) {
    return view.isFullMesh() || peer.isSelected() || peer.isSubscriber(maxSilence, now);
  }

  /** Returns whether a linked peer passes messages on, by the view of either side. */
  boolean isRelay(Peer peer, ClockReading now) {
    return peer.isSelected() || peer.isRelay(maxSilence, now);
  }

  /** Returns whether this instance passes messages on to a peer as its primary relay. */
  boolean isPrimarySubscriber(Peer peer, ClockReading now) {
    return peer.isPrimarySubscriber(maxSilence, now) && !isRelay(peer, now);
  }

  /** Returns the flags of a heartbeat to a peer. */
  LinkFlags flags(InstanceId peer) {
    return view.isFullMesh()
        ? LinkFlags.FULL_MESH
        : LinkFlags.of(
            wants(peer), primary.filter(relay -> relay.id().equals(peer)).isPresent(), isRelaying);
  }
}
