package org.bergamotcross.core.membership;

import java.util.Set;

/**
 * The peers that an instance can reach.
 *
 * @param reachable the peers that have recently echoed a heartbeat
 */
public record PeerView(Set<InstanceId> reachable) {
  /** A view without reachable peers. */
  public static final PeerView NONE = new PeerView(Set.of());

  public PeerView {
    reachable = Set.copyOf(reachable);
  }
}
