package org.bergamotcross.core.config;

import java.util.List;

/**
 * A pool of interchangeable targets.
 *
 * @param id the id
 * @param minInUseFraction the fraction of the targets, from 0 to 1, that ejection must leave in use
 * @param slots the number of requests that one target runs concurrently
 * @param targets the targets
 */
public record Pool(PoolId id, double minInUseFraction, int slots, List<Target> targets) {

  public Pool {
    targets = List.copyOf(targets);
  }

  /**
   * Returns the minimum number of targets that ejection must leave in use.
   *
   * @return {@link #minInUseFraction} as a number of targets, rounded up
   */
  public int minInUseTargets() {
    return (int) Math.ceil(minInUseFraction * targets.size());
  }
}
