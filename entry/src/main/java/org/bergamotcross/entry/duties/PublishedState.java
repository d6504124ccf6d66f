package org.bergamotcross.entry.duties;

import java.util.Optional;
import java.util.function.Supplier;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.routing.HealthView;
import org.bergamotcross.kernel.ClockReading;

/**
 * The latest values that other duties have published and the routing duty reads.
 *
 * <p>They are read directly and not sent through the ring, so that a full ring can't hide the
 * withdrawal of a key.
 *
 * @param configuration the configuration in force
 * @param health the status of all targets
 * @param freshUntil until when the instance may act on the configuration; empty before the first
 *     confirmation
 * @param stopLimit when a graceful shutdown ends the requests that are still open; empty when none
 *     has started
 */
record PublishedState(
    Supplier<Configuration> configuration,
    Supplier<HealthView> health,
    Supplier<Optional<ClockReading>> freshUntil,
    Supplier<Optional<ClockReading>> stopLimit) {

  /**
   * Checks whether the configuration is fresh enough to send requests on the authority of their
   * keys.
   *
   * @param now the current time
   * @return whether the configuration is confirmed
   */
  boolean isFresh(ClockReading now) {
    return freshUntil.get().filter(now::isBefore).isPresent();
  }

  /**
   * Checks whether the time limit of a graceful shutdown is reached.
   *
   * @param now the current time
   * @return whether all requests have to end
   */
  boolean isStopLimitReached(ClockReading now) {
    return stopLimit.get().filter(limit -> !now.isBefore(limit)).isPresent();
  }
}
