package org.bergamotcross.core.admission;

import java.util.List;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;

/**
 * The processes that hold the claims of an organisation during some epochs.
 *
 * @param holders the processes, best first
 */
public record HolderSet(List<Holder> holders) {

  /** Copies the list. */
  public HolderSet {
    holders = List.copyOf(holders);
  }

  /**
   * One process: an instance that restarts is another holder, because it has lost its memory.
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
   * Returns the number of grants that permit a send.
   *
   * @return more than half of the holders
   */
  int majority() {
    return holders.size() / 2 + 1;
  }

  /**
   * Returns the number of holders that every majority shares a member with.
   *
   * @return the smallest such number, 0 for an empty set
   */
  int readQuorum() {
    return holders.isEmpty() ? 0 : holders.size() - majority() + 1;
  }
}
