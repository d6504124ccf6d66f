package org.bergamotcross.core.routing;

import java.util.Map;
import org.bergamotcross.core.config.TargetId;

/**
 * A snapshot of the status of all targets.
 *
 * @param statuses the status by target; a target without an entry is available with full weight
 */
public record HealthView(Map<TargetId, TargetStatus> statuses) {
  private static final TargetStatus FULL = new TargetStatus.Available(1.0);

  /** Copies the map. */
  public HealthView {
    statuses = Map.copyOf(statuses);
  }

  /**
   * Returns the status of a target.
   *
   * @param target the target
   * @return its status
   */
  public TargetStatus status(TargetId target) {
    return statuses.getOrDefault(target, FULL);
  }
}
