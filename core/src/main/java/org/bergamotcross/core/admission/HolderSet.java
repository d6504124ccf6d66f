package org.bergamotcross.core.admission;

import java.util.List;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;

/**
 * The processes that hold the claims of an organisation over one or more membership epochs.
 *
 * @param holders the processes, in order of preference
 */
public record HolderSet(List<Holder> holders) {

  /** Copies the list so that the record is immutable. */
  public HolderSet {
    holders = List.copyOf(holders);
  }

  /**
   * One process. An instance that restarts becomes a different holder, because its claims are lost.
   *
   * @param id the instance
   * @param incarnation the incarnation
   */
  public record Holder(String id, long incarnation) {
    InstanceId instance() {
      return new InstanceId(id);
    }
  }

  static HolderSet of(List<Member> members) {
    return new HolderSet(
        members.stream()
            .map(member -> new Holder(member.id().value(), member.incarnation()))
            .toList());
  }

  /**
   * Returns the number of grants that an attempt needs before it may be sent.
   *
   * @return more than half of the holders
   */
  int majority() {
    return holders.size() / 2 + 1;
  }

  /**
   * Returns the read quorum: that many holders have a member in common with every majority.
   *
   * @return the smallest such number; 0 for an empty set
   */
  int readQuorum() {
    return holders.isEmpty() ? 0 : holders.size() - majority() + 1;
  }
}
