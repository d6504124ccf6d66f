package org.bergamotcross.entry.duties;

import java.util.Optional;
import java.util.function.Supplier;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.routing.HealthView;
import org.bergamotcross.kernel.Now;

/**
 * What the routing duty reads of the other duties; each value is the one published last.
 *
 * <p>Read instead of sent through the ring, so that a full ring never hides a withdrawn key.
 *
 * @param configuration the configuration in force
 * @param health the status of all targets
 * @param freshUntil when the instance must stop to act on the configuration
 * @param stopLimit when a planned stop ends the requests that are still open
 */
record RoutingView(
    Supplier<Configuration> configuration,
    Supplier<HealthView> health,
    Supplier<Optional<Now>> freshUntil,
    Supplier<Optional<Now>> stopLimit) {

  /**
   * Tells whether requests may be sent on behalf of the keys they came with.
   *
   * @param now the present time
   * @return whether the configuration is confirmed
   */
  boolean isFresh(Now now) {
    return freshUntil.get().filter(now::isBefore).isPresent();
  }

  /**
   * Tells whether the time of a planned stop is over.
   *
   * @param now the present time
   * @return whether all requests have to end
   */
  boolean isStopOver(Now now) {
    return stopLimit.get().filter(limit -> !now.isBefore(limit)).isPresent();
  }
}
