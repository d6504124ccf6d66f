package org.bergamotcross.entry.catalog;

import java.util.Optional;
import java.util.OptionalLong;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.EventLog;

/** Keeps whether the store answers this instance, and which era it is in. */
final class StoreMonitor {
  private final PeerExchange exchange;
  private final EventLog events;

  /** When a read of this instance or, by its report, of a peer last failed. */
  private Optional<ClockReading> lastFailureAt = Optional.empty();

  private OptionalLong era = OptionalLong.empty();
  private boolean unavailable;

  StoreMonitor(PeerExchange exchange, EventLog events) {
    this.exchange = exchange;
    this.events = events;
  }

  /** Records that the store answered a read of this instance. */
  void recordSuccess() {
    if (unavailable) {
      unavailable = false;
      events.event("store.regained").emit();
    }
  }

  /** Records a failed call of this instance and reports the first one to the peers. */
  void recordFailure(String reading, String reason, ClockReading now) {
    lastFailureAt = Optional.of(now);
    if (!unavailable) {
      unavailable = true;
      exchange.sendAll(
          CatalogMessages.STORE_UNAVAILABLE, new CatalogMessages.StoreUnavailable(reading));
      events.event("store.lost").with("reading", reading).with("reason", reason).emit();
    }
  }

  /** Records that a peer reported a failed call. */
  void recordPeerFailure(ClockReading now) {
    lastFailureAt = Optional.of(now);
  }

  /** Returns whether a call failed after a time. */
  boolean hasFailedSince(ClockReading time) {
    return lastFailureAt.filter(failure -> failure.isAfter(time)).isPresent();
  }

  /**
   * Records the era that a read of this instance showed, or that a peer reported.
   *
   * @return whether the store was restored since the era that was known before; false for the first
   *     era and for a late answer of an earlier one
   */
  boolean recordEra(long observed, String from) {
    if (era.isPresent() && observed <= era.getAsLong()) {
      return false;
    }
    OptionalLong before = era;
    era = OptionalLong.of(observed);
    if (before.isEmpty()) {
      return false;
    }
    events
        .event("store.restored")
        .with("before", before.getAsLong())
        .with("era", observed)
        .with("from", from)
        .emit();
    return true;
  }

  /** Returns the latest known era, 0 if none is known. */
  long era() {
    return era.orElse(0);
  }
}
