package org.bergamotcross.core.membership;

import java.util.Set;

/**
 * The peers that an instance can reach, and the relays through which it reaches the others.
 *
 * @param reachable the peers that have recently echoed a heartbeat
 * @param relays the relays of the fleet
 */
public record PeerView(Set<InstanceId> reachable, RelayView relays) {
  /** A view without reachable peers. */
  public static final PeerView NONE = new PeerView(Set.of());

  public PeerView {
    reachable = Set.copyOf(reachable);
  }

  /**
   * Creates the view of an instance that keeps a link to every other one.
   *
   * @param reachable the peers that have recently echoed a heartbeat
   */
  public PeerView(Set<InstanceId> reachable) {
    this(reachable, RelayView.FULL_MESH);
  }
}
