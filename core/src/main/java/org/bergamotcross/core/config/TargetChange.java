package org.bergamotcross.core.config;

import java.time.Duration;
import java.util.Optional;

/** A record of the list to which targets publish their entries. */
public sealed interface TargetChange {

  /**
   * Returns the position of the record in the list.
   *
   * @return the position; a later record of the same target in the same era has a later one
   */
  CatalogPosition position();

  /**
   * Returns the target.
   *
   * @return the id of the target
   */
  TargetId id();

  /**
   * A target has published an entry.
   *
   * @param position the position of the record
   * @param entry the entry
   */
  record Published(CatalogPosition position, TargetEntry entry) implements TargetChange {
    @Override
    public TargetId id() {
      return entry.target().id();
    }
  }

  /**
   * The entry of a target was removed.
   *
   * @param position the position of the record
   * @param id the target
   * @param gracePeriod how long the target may still be used, because entries that expired during
   *     an outage of the list are published again soon after it
   * @param lastReport the last report that is known of the target, which a restored list may
   *     contain again; empty in a record of the list itself
   */
  record Removed(
      CatalogPosition position,
      TargetId id,
      Duration gracePeriod,
      Optional<TargetReport> lastReport)
      implements TargetChange {

    /**
     * Creates a removal as the list contains it, without the last report of the target.
     *
     * @param position the position of the record
     * @param id the target
     * @param gracePeriod how long the target may still be used
     */
    public Removed(CatalogPosition position, TargetId id, Duration gracePeriod) {
      this(position, id, gracePeriod, Optional.empty());
    }
  }
}
