package org.bergamotcross.entry.duties;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.bergamotcross.core.config.Configuration;

/** Keeps the newest configuration for which the ring had no room, so that it is never lost. */
final class MissedConfiguration {
  private final AtomicReference<Optional<Configuration>> latest =
      new AtomicReference<>(Optional.empty());

  void put(Configuration configuration) {
    latest.set(Optional.of(configuration));
  }

  Optional<Configuration> take() {
    return latest.get().isEmpty() ? Optional.empty() : latest.getAndSet(Optional.empty());
  }
}
