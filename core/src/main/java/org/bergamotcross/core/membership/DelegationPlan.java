package org.bergamotcross.core.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.bergamotcross.kernel.ClockReading;

/**
 * Decides to whom this instance delegates its share of each rate.
 *
 * <p>A delegation is a lease: the receiver may use it for {@link #LEASE_DURATION}, counted from the
 * sending of the heartbeat that the delegation answers. An instance that stops answering remains a
 * candidate until its lease has expired. A new candidate is added at once, but nobody uses its
 * fraction until all instances that it may displace have confirmed the change or their leases have
 * expired. No fraction of the share is therefore held twice.
 */
public final class DelegationPlan {
  /**
   * How long a receiver may use a delegation: three heartbeats of 1 s, so that one heartbeat may be
   * lost.
   */
  public static final Duration LEASE_DURATION = Duration.ofSeconds(3);

  /**
   * How much longer than the receiver the delegating instance counts a lease. Covers clock rates
   * that differ by a few percent and a pause too short for {@link SuspensionDetector} to detect.
   */
  static final Duration LEASE_MARGIN = Duration.ofMillis(500);

  /** How long the delegating instance regards a delegation as in use. */
  public static final Duration LEASE_EXPIRY = LEASE_DURATION.plus(LEASE_MARGIN);

  /**
   * How long an instance may take to apply a delegation that it has received, or its own shutdown.
   */
  public static final Duration MAX_APPLY_DELAY = Duration.ofMillis(200);

  /**
   * What is known about a peer.
   *
   * @param lastHeardAt when the peer last sent a message, whether or not it echoed a heartbeat; its
   *     lease started no later than this
   * @param confirmedVersion the highest {@link #version} that the peer has confirmed
   * @param released whether the peer is stopping and has given up everything that was delegated to
   *     it
   */
  public record PeerState(ClockReading lastHeardAt, long confirmedVersion, boolean released) {
    private boolean usesNoVersionBefore(long version, ClockReading now) {
      return released
          || confirmedVersion >= version
          || now.since(lastHeardAt).compareTo(DelegationPlan.LEASE_EXPIRY) >= 0;
    }
  }

  /** Replaces the version of a candidate once all other candidates have confirmed it. */
  private static final long CONFIRMED_BY_ALL = Long.MAX_VALUE;

  private sealed interface CandidateState {
    /** The candidate may use its fraction. */
    record Active() implements CandidateState {}

    /** The candidate does not answer; its fraction becomes free at the given time. */
    record Absent(ClockReading until) implements CandidateState {}

    /**
     * Others may use the fraction until the given time, or until they have confirmed the version.
     */
    record Joining(long version, ClockReading until) implements CandidateState {}
  }

  private final InstanceId self;
  private final Map<InstanceId, Member> candidates = new HashMap<>();
  private final Map<InstanceId, CandidateState> states = new HashMap<>();
  private Delegation current = Delegation.NONE;
  private long version;
  private boolean isOutdated;

  /**
   * Creates a plan that delegates nothing.
   *
   * @param self the local instance
   */
  public DelegationPlan(InstanceId self) {
    this.self = self;
  }

  /**
   * Updates the delegation.
   *
   * @param answering the instances that are eligible as holders, including the local one unless it
   *     is stopping
   * @param peers returns what is known about an instance
   * @param shares the number of shares into which a rate is divided, 0 while the local share may
   *     not be used
   * @param now the current time
   * @return the updated delegation
   */
  public Delegation update(
      Collection<Member> answering,
      Function<InstanceId, Optional<PeerState>> peers,
      int shares,
      ClockReading now) {
    Map<InstanceId, Member> present = new HashMap<>();
    answering.forEach(member -> present.put(member.id(), member));
    if (current.shares() == 0) {
      candidates.clear();
      states.clear();
      present.keySet().forEach(id -> states.put(id, new CandidateState.Active()));
      isOutdated = true;
    } else {
      Set.copyOf(states.keySet())
          .forEach(id -> transition(id, present.containsKey(id), peers, now));
      present.keySet().stream()
          .filter(id -> !states.containsKey(id))
          .forEach(id -> replaceState(id, joining(now)));
    }
    present.forEach((id, member) -> isOutdated |= !member.equals(candidates.put(id, member)));
    isOutdated |= candidates.keySet().retainAll(states.keySet());
    // Most updates change nothing, and with many candidates building the delegation is the larger
    // part of an update.
    if (!isOutdated && shares == current.shares()) {
      return current;
    }
    isOutdated = false;
    Delegation next = buildDelegation(shares);
    if (!next.equals(current)) {
      current = next;
      version++;
    }
    return current;
  }

  private CandidateState joining(ClockReading now) {
    return new CandidateState.Joining(version + 1, now.plus(LEASE_EXPIRY));
  }

  private void transition(
      InstanceId id,
      boolean isPresent,
      Function<InstanceId, Optional<PeerState>> peers,
      ClockReading now) {
    switch (states.get(id)) {
      case CandidateState.Active active -> {
        if (!isPresent) {
          Optional<PeerState> peer = peers.apply(id);
          ClockReading until =
              peer.filter(PeerState::released).isPresent()
                  ? now
                  : peer.map(PeerState::lastHeardAt).orElse(now).plus(LEASE_EXPIRY);
          replaceState(id, new CandidateState.Absent(until));
          transition(id, false, peers, now);
        }
      }
      case CandidateState.Absent absent -> {
        if (isPresent) {
          replaceState(id, new CandidateState.Active());
        } else if (!now.isBefore(absent.until())) {
          removeState(id);
        }
      }
      case CandidateState.Joining joining -> {
        if (!isPresent) {
          removeState(id);
        } else if (!now.isBefore(joining.until())) {
          replaceState(id, new CandidateState.Active());
        } else if (isConfirmed(joining, peers, now)) {
          ClockReading appliedAt = now.plus(MAX_APPLY_DELAY);
          ClockReading until = joining.until().isBefore(appliedAt) ? joining.until() : appliedAt;
          replaceState(id, new CandidateState.Joining(CONFIRMED_BY_ALL, until));
        }
      }
    }
  }

  private void replaceState(InstanceId id, CandidateState state) {
    states.put(id, state);
    isOutdated = true;
  }

  private void removeState(InstanceId id) {
    states.remove(id);
    isOutdated = true;
  }

  /** Tells whether no candidate uses a delegation older than the version any more. */
  private boolean isConfirmed(
      CandidateState.Joining joining,
      Function<InstanceId, Optional<PeerState>> peers,
      ClockReading now) {
    return joining.version() != CONFIRMED_BY_ALL
        && states.entrySet().stream()
            .filter(entry -> !(entry.getValue() instanceof CandidateState.Joining))
            .map(Map.Entry::getKey)
            .filter(id -> !id.equals(self))
            .allMatch(
                id ->
                    peers
                        .apply(id)
                        .filter(peer -> peer.usesNoVersionBefore(joining.version(), now))
                        .isPresent());
  }

  private Delegation buildDelegation(int shares) {
    Set<InstanceId> settling =
        states.entrySet().stream()
            .filter(entry -> !(entry.getValue() instanceof CandidateState.Active))
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet());
    Members candidateMembers = new Members(Members.NONE.epoch(), List.copyOf(candidates.values()));
    return new Delegation(shares, candidateMembers, settling);
  }

  /**
   * Returns the version of the current delegation, which increases with each change.
   *
   * @return the version
   */
  public long version() {
    return version;
  }
}
