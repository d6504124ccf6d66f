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
import org.bergamotcross.kernel.Now;

/** Finds the targets that the instance list shows as leaving. */
final class LeavingTargetList {
  // The list lags and may be served from replicas, so "live" right after "leaving" is no proof.
  private static final Duration HOLD = Duration.ofSeconds(30);

  private final Map<TargetId, Now> leavingAt = new HashMap<>();

  /**
   * Takes an answer of the list.
   *
   * @param instances the entries
   * @param configuration names the targets, which are found by id or by address
   * @param now the present time
   * @return the targets that leave
   */
  Set<TargetId> update(List<PlatformInstance> instances, Configuration configuration, Now now) {
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
          leavingAt.put(target.id(), now);
        }
      }
    }
    leavingAt.values().removeIf(at -> now.since(at).compareTo(HOLD) > 0);
    return Set.copyOf(leavingAt.keySet());
  }
}
