package org.bergamotcross.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;

/** Knows which offsets of the log a majority of the members has folded. */
public final class OffsetQuorum {
  private final InstanceId self;
  private final Map<InstanceId, Long> offsets = new HashMap<>();
  private Members members = Members.NONE;

  /**
   * Creates a quorum that has heard nothing.
   *
   * @param self the own instance
   */
  public OffsetQuorum(InstanceId self) {
    this.self = self;
  }

  /**
   * Takes a new configuration.
   *
   * @param configuration the configuration
   */
  public void configure(Configuration configuration) {
    members = configuration.members();
    offsets.keySet().removeIf(id -> members.find(id).isEmpty());
    heard(self, configuration.offset());
  }

  /**
   * Takes the offset that a peer has confirmed.
   *
   * @param peer the peer
   * @param offset the offset that it has folded
   */
  public void heard(InstanceId peer, long offset) {
    offsets.put(peer, offset);
  }

  /**
   * Tells whether a majority of the members is known to have folded an offset.
   *
   * @param offset the offset
   * @return whether a majority has it
   */
  public boolean has(long offset) {
    long count = 0;
    for (Member member : members.list()) {
      if (offsets.getOrDefault(member.id(), Long.MIN_VALUE) >= offset) {
        count++;
      }
    }
    return count > 0 && count >= members.majority();
  }
}
