package org.bergamotcross.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;

/** Tracks which log offsets a majority of the members has applied. */
public final class OffsetQuorum {
  private final InstanceId self;
  private final Map<InstanceId, Long> offsets = new HashMap<>();
  private Members members = Members.NONE;

  /**
   * Creates a tracker that knows no offsets.
   *
   * @param self the id of this instance
   */
  public OffsetQuorum(InstanceId self) {
    this.self = self;
  }

  /**
   * Applies a new configuration.
   *
   * @param configuration the configuration
   */
  public void configure(Configuration configuration) {
    members = configuration.members();
    offsets.keySet().removeIf(id -> members.find(id).isEmpty());
    recordOffset(self, configuration.offset());
  }

  /**
   * Records the offset that a peer has confirmed.
   *
   * @param peer the peer
   * @param offset the highest offset that it has applied
   */
  public void recordOffset(InstanceId peer, long offset) {
    offsets.put(peer, offset);
  }

  /**
   * Returns whether a majority of the members is known to have applied an offset.
   *
   * @param offset the offset
   * @return whether a majority has applied it
   */
  public boolean hasMajority(long offset) {
    long count = 0;
    for (Member member : members.list()) {
      if (offsets.getOrDefault(member.id(), Long.MIN_VALUE) >= offset) {
        count++;
      }
    }
    return count > 0 && count >= members.majority();
  }
}
