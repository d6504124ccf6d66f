package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.entry.platform.PlatformClient.PlatformInstance;
import org.bergamotcross.kernel.ClockReading;

/** Tracks the targets that the instance list marks as leaving. */
final class LeavingTargetTracker {
  // The list lags and may be served by replicas, so a target that is listed as live again shortly
  // after it was listed as leaving is still treated as leaving.
  private static final Duration LEAVING_HOLD_TIME = Duration.ofSeconds(30);

  private final Map<TargetId, ClockReading> lastListedLeavingAt = new HashMap<>();

  /**
   * Updates the leaving targets from a read of the instance list.
   *
   * @param instances the listed instances
   * @param configuration the configured targets, which are matched by id or by address
   * @param now the current time
   * @return the leaving targets
   */
  Set<TargetId> update(
      List<PlatformInstance> instances, Configuration configuration, ClockReading now) {
    Set<String> ids = new HashSet<>();
    Set<String> addresses = new HashSet<>();
    for (PlatformInstance instance : instances) {
      if (instance.kind() == PlatformInstance.Kind.TARGET
          && instance.state() == PlatformInstance.State.LEAVING) {
        ids.add(instance.id());
        addresses.add(instance.address());
      }
    }
    for (Pool pool : configuration.pools()) {
      for (Target target : pool.targets()) {
        if (ids.contains(target.id().value())
            || addresses.contains(target.host() + ":" + target.port())) {
          lastListedLeavingAt.put(target.id(), now);
        }
      }
    }
    lastListedLeavingAt.values().removeIf(at -> now.since(at).compareTo(LEAVING_HOLD_TIME) > 0);
    return Set.copyOf(lastListedLeavingAt.keySet());
  }
}
