package org.bergamotcross.core.config;

import java.time.Duration;

/** A record of the list to which targets publish their entries. */
public sealed interface TargetChange {

  /**
   * Returns the offset of the record in the list.
   *
   * @return the offset; a later record of the same target has a higher one
   */
  long offset();

  /**
   * Returns the target.
   *
   * @return the id of the target
   */
  TargetId id();

  /**
   * A target has published an entry.
   *
   * @param offset the offset of the record
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
   * @param offset the offset of the record
   * @param id the target
   * @param gracePeriod how long the target may still be used, because entries that expired during
   *     an outage of the list are published again soon after it
   */
  record Removed(long offset, TargetId id, Duration gracePeriod) implements TargetChange {}
}
