package org.bergamotcross.entry.duties;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.bergamotcross.core.config.Configuration;

/**
 * Holds the newest configuration that did not fit into a full ring, so that it is not lost.
 * Thread-safe.
 */
final class OverflowConfiguration {
  private final AtomicReference<Optional<Configuration>> latest =
      new AtomicReference<>(Optional.empty());

  void put(Configuration configuration) {
    latest.set(Optional.of(configuration));
  }

  Optional<Configuration> take() {
    return latest.get().isEmpty() ? Optional.empty() : latest.getAndSet(Optional.empty());
  }
}
