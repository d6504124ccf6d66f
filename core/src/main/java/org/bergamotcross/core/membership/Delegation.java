package org.bergamotcross.core.membership;

import java.util.List;
import java.util.Set;

/**
 * Says to which instances one instance delegates its share of each organisation's rate.
 *
 * <p>The share is divided equally among the holders that are chosen for the organisation among the
 * candidates. The part of a settling holder is used by nobody.
 *
 * @param shares the number of equal shares into which a rate is divided, one for each instance; 0
 *     when the instance has no share that it may delegate
 * @param candidates the instances among which holders are chosen
 * @param settling candidates that others may still, or may not yet, take the place of
 */
public record Delegation(int shares, Members candidates, Set<InstanceId> settling) {
  /** Nothing is delegated to anybody. */
  public static final Delegation NONE = new Delegation(0, Members.NONE, Set.of());

  /** Copies the set. */
  public Delegation {
    settling = Set.copyOf(settling);
  }

  /**
   * Chooses the holders of an organisation by rendezvous hashing.
   *
   * <p>They are in different failure domains as far as there are any. A change of one candidate
   * changes one of them at most.
   *
   * @param organisation the id of the organisation
   * @return up to {@link Members#HOLDERS} holders, with those that settle
   */
  public List<Member> holders(String organisation) {
    return candidates.spread(organisation, Members.HOLDERS);
  }

  /**
   * Returns the part of an organisation's rate that an instance holds by this delegation.
   *
   * @param organisation the id of the organisation
   * @param instance the instance
   * @return a part of the whole rate, 0 when the instance holds none
   */
  public double part(String organisation, InstanceId instance) {
    if (shares == 0 || settling.contains(instance)) {
      return 0;
    }
    List<Member> holders = holders(organisation);
    boolean holds = holders.stream().anyMatch(holder -> holder.id().equals(instance));
    return holds ? 1.0 / shares / holders.size() : 0;
  }
}
