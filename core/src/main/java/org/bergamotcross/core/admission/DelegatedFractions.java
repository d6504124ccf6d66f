package org.bergamotcross.core.admission;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.Delegation;
import org.bergamotcross.core.membership.DelegationPlan;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.kernel.ClockReading;

/** Tracks the fractions of rates that are delegated to this instance and the leases on them. */
final class DelegatedFractions {
  /** Limits the cached fractions of distinct delegations per organisation. */
  private static final int MAX_CACHED_DELEGATIONS = 64;

  private record Lease(Delegation delegation, ClockReading until) {}

  private final InstanceId self;
  private final Map<InstanceId, Lease> leases = new HashMap<>();
  // Keyed by identity: instances that hear the same peers send equal delegations, and the exchange
  // reuses one object for equal delegations.
  private final Map<OrganisationId, IdentityHashMap<Delegation, Double>> fractionCache =
      new HashMap<>();
  private Delegation ownDelegation = Delegation.NONE;
  private Optional<ClockReading> ignoreHeartbeatsBefore = Optional.empty();

  DelegatedFractions(InstanceId self) {
    this.self = self;
  }

  Delegation ownDelegation() {
    return ownDelegation;
  }

  void setOwnDelegation(Delegation delegation) {
    ownDelegation = delegation;
  }

  /** Returns whether {@link #renew} with these arguments only extends a lease. */
  boolean isRenewal(InstanceId peer, Delegation delegation, ClockReading now) {
    Lease lease = leases.get(peer);
    return lease != null && now.isBefore(lease.until()) && lease.delegation().equals(delegation);
  }

  /**
   * Starts or extends the lease on a peer's delegation; heartbeats sent before the last {@link
   * #endAllLeases} are ignored.
   *
   * @param peer the peer
   * @param delegation the delegation
   * @param heartbeatSentAt when this instance sent the heartbeat that the peer answered with the
   *     delegation
   */
  void renew(Member peer, Delegation delegation, ClockReading heartbeatSentAt) {
    if (ignoreHeartbeatsBefore.filter(heartbeatSentAt::isBefore).isPresent()) {
      return;
    }
    leases.put(
        peer.id(), new Lease(delegation, heartbeatSentAt.plus(DelegationPlan.LEASE_DURATION)));
  }

  void endLease(InstanceId peer) {
    leases.remove(peer);
  }

  /** Returns the delegation of a peer whose lease is valid now, which delegates nothing if none. */
  Delegation delegationOf(InstanceId peer, ClockReading now) {
    Lease lease = leases.get(peer);
    return lease != null && now.isBefore(lease.until()) ? lease.delegation() : Delegation.NONE;
  }

  /** Returns whether a lease has expired after {@code since} and until now. */
  boolean hasExpiredSince(ClockReading since, ClockReading now) {
    return leases.values().stream()
        .anyMatch(lease -> lease.until().isAfter(since) && !now.isBefore(lease.until()));
  }

  /** Returns the fraction of an organisation's rate in one delegation. */
  double fraction(OrganisationId organisation, Delegation delegation) {
    return fraction(organisation, delegation, cachedFractions(organisation));
  }

  /**
   * Ends all leases; from now on, only replies to heartbeats sent after {@code now} start new ones.
   */
  void endAllLeases(ClockReading now) {
    leases.clear();
    ignoreHeartbeatsBefore = Optional.of(now);
  }

  /**
   * Returns the delegations whose lease is valid now, the own one included, with the number of
   * instances that made each. Most instances make equal ones.
   */
  IdentityHashMap<Delegation, Integer> validDelegations(ClockReading now) {
    IdentityHashMap<Delegation, Integer> valid = new IdentityHashMap<>();
    valid.put(ownDelegation, 1);
    for (Lease lease : leases.values()) {
      if (now.isBefore(lease.until())) {
        valid.merge(lease.delegation(), 1, Integer::sum);
      }
    }
    return valid;
  }

  /**
   * Returns the fraction of an organisation's rate that is delegated to this instance.
   *
   * @param organisation the organisation
   * @param valid the result of {@link #validDelegations}
   */
  double fraction(OrganisationId organisation, IdentityHashMap<Delegation, Integer> valid) {
    IdentityHashMap<Delegation, Double> cached = cachedFractions(organisation);
    double sum = 0;
    for (Map.Entry<Delegation, Integer> entry : valid.entrySet()) {
      sum += entry.getValue() * fraction(organisation, entry.getKey(), cached);
    }
    return sum;
  }

  private IdentityHashMap<Delegation, Double> cachedFractions(OrganisationId organisation) {
    IdentityHashMap<Delegation, Double> cached =
        fractionCache.computeIfAbsent(organisation, id -> new IdentityHashMap<>());
    if (cached.size() > MAX_CACHED_DELEGATIONS) {
      cached.clear();
    }
    return cached;
  }

  private double fraction(
      OrganisationId organisation,
      Delegation delegation,
      IdentityHashMap<Delegation, Double> cached) {
    return cached.computeIfAbsent(delegation, d -> d.rateFraction(organisation.value(), self));
  }

  void evict(OrganisationId organisation) {
    fractionCache.remove(organisation);
  }
}
