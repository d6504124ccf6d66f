package org.bergamotcross.core.membership;

import java.util.List;
import java.util.Set;

/**
 * Describes to which instances one instance delegates its share of each organisation's rate.
 *
 * <p>The share is divided equally among the holders that are selected from the candidates for the
 * organisation. Nobody uses the fraction of a settling holder.
 *
 * @param shares the number of equal shares, one for each counted instance, into which a rate is
 *     divided; 0 when the instance has no share to delegate
 * @param candidates the instances from which holders are selected
 * @param settling the candidates whose fraction may still be in use by another holder, or which no
 *     longer answer
 */
public record Delegation(int shares, Members candidates, Set<InstanceId> settling) {
  /** Delegates nothing. */
  public static final Delegation NONE = new Delegation(0, Members.NONE, Set.of());

  public Delegation {
    settling = Set.copyOf(settling);
  }

  /**
   * Selects the holders of an organisation by rendezvous hashing.
   *
   * <p>The holders are in different failure domains where possible. Adding or removing one
   * candidate changes at most one holder.
   *
   * @param organisation the id of the organisation
   * @return up to {@link Members#MAX_HOLDERS} holders, including settling ones
   */
  public List<Member> holders(String organisation) {
    return candidates.selectAcrossDomains(organisation, Members.MAX_HOLDERS);
  }

  /**
   * Returns the fraction of an organisation's rate that an instance holds by this delegation.
   *
   * @param organisation the id of the organisation
   * @param instance the instance
   * @return the fraction of the whole rate, 0 when the instance holds none
   */
  public double rateFraction(String organisation, InstanceId instance) {
    if (shares == 0 || settling.contains(instance)) {
      return 0;
    }
    if (!candidates.isSelectedAcrossDomains(organisation, Members.MAX_HOLDERS, instance)) {
      return 0;
    }
    int holders = Math.min(Members.MAX_HOLDERS, candidates.list().size());
    return 1.0 / shares / holders;
  }
}
