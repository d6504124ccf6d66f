package org.bergamotcross.entry.catalog;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.bergamotcross.core.config.CatalogPosition;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.core.membership.ReadSchedule;
import org.bergamotcross.entry.CatalogSource;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.EventLog;

/**
 * Follows the published settings by long polls.
 *
 * <p>Only a higher version replaces the settings in force. A restored store may contain an older
 * version; the next read then continues from the position of that one.
 */
final class SettingsFollower {
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);
  private static final long NO_VERSION = -1;

  private final CatalogSource source;
  private final ReadSchedule readSchedule;
  private final StoreMonitor store;
  private final EventLog events;
  private final Consumer<CatalogInput> completions;
  private Optional<CatalogSource.SettingsDocument> document = Optional.empty();
  private Optional<CatalogSource.CatalogSettings> settings = Optional.empty();

  /** The position from which the next read continues. */
  private CatalogPosition end = CatalogPosition.START;

  /** When an instance ranked before this one last read the settings. */
  private ClockReading lastPrecedingReadAt;

  /** Delays the next read after a failed one. */
  private ClockReading retryAt;

  private boolean reading;

  SettingsFollower(
      CatalogSource source,
      ReadSchedule readSchedule,
      StoreMonitor store,
      EventLog events,
      Consumer<CatalogInput> completions,
      ClockReading lastReadAt,
      ClockReading now) {
    this.source = source;
    this.readSchedule = readSchedule;
    this.store = store;
    this.events = events;
    this.completions = completions;
    this.lastPrecedingReadAt = lastReadAt;
    this.retryAt = now;
  }

  /** Returns the settings in force; empty before the first ones. */
  Optional<CatalogSource.CatalogSettings> settings() {
    return settings;
  }

  /** Returns the version in force, -1 if there are no settings. */
  long version() {
    return settings.map(CatalogSource.CatalogSettings::version).orElse(NO_VERSION);
  }

  /** Returns the offset after the settings in force, 0 if there are none. */
  long endOffset() {
    return document.map(d -> d.position().offset() + 1).orElse(0L);
  }

  void readIfDue(PeerView peers, ClockReading now) {
    if (!reading && !now.isBefore(dueAt(peers))) {
      reading = true;
      source
          .readSettings(end, ReadSchedule.LONG_POLL_TIMEOUT)
          .thenAccept(r -> completions.accept(new CatalogInput.SettingsReadCompleted(r)));
    }
  }

  /** Returns when the next read is due; empty while one is pending. */
  Optional<ClockReading> nextReadAt(PeerView peers) {
    return reading ? Optional.empty() : Optional.of(dueAt(peers));
  }

  private ClockReading dueAt(PeerView peers) {
    ClockReading due = readSchedule.longPollDueAt(peers, lastPrecedingReadAt);
    return due.isAfter(retryAt) ? due : retryAt;
  }

  /**
   * Takes the result of a read of this instance.
   *
   * @return whether settings were adopted
   */
  boolean onRead(CatalogSource.SettingsReadResult result, ClockReading now) {
    reading = false;
    return switch (result) {
      case CatalogSource.SettingsReadResult.Read read when read.end().era() < end.era() -> {
        // A late answer of an earlier era.
        retryAt = now.plus(RETRY_DELAY);
        yield false;
      }
      case CatalogSource.SettingsReadResult.Read read -> {
        retryAt = now;
        store.recordSuccess();
        end = CatalogPosition.latest(end, read.end());
        yield read.document().filter(d -> adopt(d, "store")).isPresent();
      }
      case CatalogSource.SettingsReadResult.Unavailable unavailable -> {
        retryAt = now.plus(RETRY_DELAY);
        store.recordFailure("settings", unavailable.reason(), now);
        yield false;
      }
    };
  }

  /** Records that an instance ranked before this one has read the settings. */
  void recordPrecedingRead(ClockReading now) {
    lastPrecedingReadAt = now;
  }

  /**
   * Adopts a document if it is valid and of a higher version.
   *
   * @return whether it is now in force
   */
  boolean adopt(CatalogSource.SettingsDocument offered, String from) {
    if (document.filter(d -> isKnown(offered, d)).isPresent()) {
      return false;
    }
    return switch (source.decodeSettings(offered)) {
      case CatalogSource.DecodeResult.Invalid invalid -> {
        events
            .event("settings.unusable")
            .with("era", offered.position().era())
            .with("offset", offered.position().offset())
            .with("problem", invalid.problem())
            .emit();
        yield false;
      }
      case CatalogSource.DecodeResult.Valid valid -> adopt(offered, valid.settings(), from);
    };
  }

  /** Tells whether a document is, in the era of the document in force, not after that one. */
  private static boolean isKnown(
      CatalogSource.SettingsDocument offered, CatalogSource.SettingsDocument inForce) {
    return offered.position().era() == inForce.position().era()
        && !inForce.position().isBefore(offered.position());
  }

  private boolean adopt(
      CatalogSource.SettingsDocument offered, CatalogSource.CatalogSettings next, String from) {
    if (settings.isPresent() && next.version() <= version()) {
      return false;
    }
    document = Optional.of(offered);
    end = CatalogPosition.latest(end, offered.position().next());
    settings = Optional.of(next);
    events
        .event("settings.applied")
        .with("version", next.version())
        .with("era", offered.position().era())
        .with("offset", offered.position().offset())
        .with("from", from)
        .with("routes", next.routes().size())
        .with("organisations", next.organisations().size())
        .emit();
    return true;
  }

  /**
   * Tells whether a peer has newer settings.
   *
   * @param peerVersion the version in force at the peer, -1 if it has none, 0 if it doesn't report
   *     the version
   * @param peerEndOffset the offset after these settings
   */
  boolean isBehind(long peerVersion, long peerEndOffset) {
    return peerVersion == 0 ? peerEndOffset > endOffset() : peerVersion > version();
  }

  /** Returns the document in force if the sender of a request doesn't have it. */
  Optional<CatalogSource.SettingsDocument> documentFor(CatalogMessages.SyncRequest request) {
    return document.filter(
        d ->
            request.settingsVersion() == 0
                ? d.position().offset() >= request.settingsEnd()
                : version() > request.settingsVersion());
  }
}
