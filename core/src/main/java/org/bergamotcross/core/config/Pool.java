package org.bergamotcross.core.config;

import java.util.List;

/**
 * Targets that do the same work.
 *
 * @param id the id
 * @param floor the share of the targets, from 0 to 1, that ejection must leave in use
 * @param slots the number of requests that one target runs at once
 * @param targets the targets
 */
public record Pool(PoolId id, double floor, int slots, List<Target> targets) {

  /** Copies the list. */
  public Pool {
    targets = List.copyOf(targets);
  }

  /**
   * Returns the number of healthy targets that ejection must leave.
   *
   * @return the floor as a number of targets, rounded up
   */
  public int floorTargets() {
    return (int) Math.ceil(floor * targets.size());
  }
}
