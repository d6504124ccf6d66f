package org.bergamotcross.core.membership;

import java.util.Set;

/**
 * The local view of how the limits of the fleet are divided.
 *
 * @param delegation to whom this instance delegates its share of each rate
 * @param instanceCount the number of counted instances, including this one
 * @param awaitsRegistration whether this instance is to be registered in the directory now
 * @param departed the instances to remove from the directory
 */
public record FleetView(
    Delegation delegation,
    int instanceCount,
    boolean awaitsRegistration,
    Set<InstanceId> departed) {
  /** The view of an instance that knows no other instance and may not use a share. */
  public static final FleetView NONE = new FleetView(Delegation.NONE, 1, false, Set.of());

  public FleetView {
    departed = Set.copyOf(departed);
  }
}
