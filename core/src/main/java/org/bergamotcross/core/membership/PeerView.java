package org.bergamotcross.core.membership;

import java.util.Set;

/**
 * Which peers an instance hears.
 *
 * @param heard the peers that answered within the last beats
 * @param known the number of peers that answered not long ago, with those that are heard; peers
 *     that are known to have ended don't count
 */
public record PeerView(Set<InstanceId> heard, int known) {
  /** No peers. */
  public static final PeerView NONE = new PeerView(Set.of(), 0);

  /** Copies the set. */
  public PeerView {
    heard = Set.copyOf(heard);
  }

  /**
   * Returns the part of the fleet that is heard, this instance included.
   *
   * @return a number above 0 and at most 1
   */
  public double heardShare() {
    return (heard.size() + 1.0) / (Math.max(known, heard.size()) + 1.0);
  }
}
