package org.bergamotcross.core.config;

import java.time.Duration;

/** A record of the list in which targets publish themselves. */
public sealed interface TargetChange {

  /**
   * Returns the place of the record in the list.
   *
   * @return the offset; a later record of the same target has a higher one
   */
  long offset();

  /**
   * Returns the target.
   *
   * @return its id
   */
  TargetId id();

  /**
   * A target has published an entry.
   *
   * @param offset the place of the record
   * @param entry the entry
   */
  record Published(long offset, TargetEntry entry) implements TargetChange {
    @Override
    public TargetId id() {
      return entry.target().id();
    }
  }

  /**
   * The entry of a target was removed.
   *
   * @param offset the place of the record
   * @param id the target
   * @param patience how long the target may still be used, because entries that lapsed during an
   *     outage of the list come back soon after it
   */
  record Removed(long offset, TargetId id, Duration patience) implements TargetChange {}
}
