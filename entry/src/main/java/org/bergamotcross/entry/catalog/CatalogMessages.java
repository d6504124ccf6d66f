package org.bergamotcross.entry.catalog;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.bergamotcross.core.config.CatalogPosition;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetChange;
import org.bergamotcross.core.config.TargetEntry;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.config.TargetReport;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.entry.CatalogSource;

/**
 * Defines the messages that the catalog duties of the instances exchange.
 *
 * <p>Offsets belong to the era beside them; builds that don't know eras send 0. A settings version
 * of 0 comes from a build that doesn't send it.
 */
final class CatalogMessages {
  static final String UPDATE = "catalog-news";
  static final String SETTINGS_READ = "catalog-settings-read";
  static final String STORE_UNAVAILABLE = "catalog-store-unavailable";
  static final String SYNC_REQUEST = "catalog-ask";
  static final String SYNC_RESPONSE = "catalog-state";

  private CatalogMessages() {}

  /**
   * Disseminates the result of a read.
   *
   * <p>A receiver that knows all records of the list of targets before {@code from} knows all
   * before {@code to} after it has applied the changes. A complete list needs no earlier records.
   *
   * @param settingsEnd the offset after the settings in force at the sender, 0 if it has none
   * @param from the offset from which the sender read the list of targets
   * @param to the offset up to which the sender read, exclusive
   * @param changes the records in this range, without those that only show that a target is alive
   * @param complete whether the changes are the newest records of all targets; false if sent by a
   *     build that doesn't know this field
   * @param settingsVersion the version of the settings in force at the sender, -1 if it has none
   * @param era the era of {@code from} and {@code to}
   */
  record Update(
      long settingsEnd,
      long from,
      long to,
      List<TargetRecord> changes,
      boolean complete,
      long settingsVersion,
      long era) {
    /** Copies the list. */
    Update {
      changes = List.copyOf(changes);
    }

    CatalogPosition start() {
      return new CatalogPosition(era, from);
    }

    CatalogPosition end() {
      return new CatalogPosition(era, to);
    }
  }

  /**
   * Reports that the sender has read the settings, also when there were no new ones.
   *
   * @param settingsEnd the offset after the settings in force at the sender, 0 if it has none
   * @param settingsVersion the version of these settings, -1 if it has none
   * @param era the era of the store at this read
   */
  record SettingsRead(long settingsEnd, long settingsVersion, long era) {}

  /**
   * Reports that the sender's reads of the store have begun to fail.
   *
   * @param reading what the sender tried to read first: settings, targets or instances
   */
  record StoreUnavailable(String reading) {}

  /**
   * Requests everything that the receiver knows beyond the sender's offsets.
   *
   * @param settingsEnd the offset after the settings in force at the sender, 0 if it has none
   * @param targetsEnd the offset up to which the sender knows the list of targets, exclusive
   * @param settingsVersion the version of these settings, -1 if it has none
   * @param era the era of {@code targetsEnd}
   */
  record SyncRequest(long settingsEnd, long targetsEnd, long settingsVersion, long era) {}

  /**
   * Answers a {@link SyncRequest} with the state that the requester is missing.
   *
   * @param settingsOffset the offset of the settings, -1 if the requester is missing none
   * @param settings the encoded settings document, empty if the requester is missing none
   * @param targetsEnd the offset up to which the sender knows the list of targets, exclusive; -1 if
   *     the requester is missing none of it
   * @param targets one record for each target
   * @param settingsEra the era of {@code settingsOffset}
   * @param targetsEra the era of {@code targetsEnd}
   */
  // Written to the wire once and never changed or compared.
  @SuppressWarnings("ArrayRecordComponent")
  record SyncResponse(
      long settingsOffset,
      byte[] settings,
      long targetsEnd,
      List<TargetRecord> targets,
      long settingsEra,
      long targetsEra) {
    /** Copies the list. */
    SyncResponse {
      targets = List.copyOf(targets);
    }

    Optional<CatalogSource.SettingsDocument> document() {
      return settingsOffset < 0
          ? Optional.empty()
          : Optional.of(
              new CatalogSource.SettingsDocument(
                  new CatalogPosition(settingsEra, settingsOffset), settings));
    }

    /** Returns the position up to which the targets are complete; empty if none are sent. */
    Optional<CatalogPosition> end() {
      return targetsEnd < 0
          ? Optional.empty()
          : Optional.of(new CatalogPosition(targetsEra, targetsEnd));
    }
  }

  /**
   * The wire form of a {@link TargetChange}.
   *
   * @param pool the pool, empty for a tombstone, that is, a removed target
   * @param startedAtMillis the start time of the target in ms, -1 if unknown; for a tombstone that
   *     of its last report
   * @param sequence the sequence number of the report; for a tombstone that of the last report
   * @param patienceMillis how long a removed target may still be used, in ms
   * @param era the era of the offset
   */
  record TargetRecord(
      long offset,
      String id,
      String pool,
      String host,
      int port,
      String failureDomain,
      int slots,
      boolean draining,
      long startedAtMillis,
      long sequence,
      long patienceMillis,
      long era) {

    static TargetRecord of(TargetChange change) {
      return switch (change) {
        case TargetChange.Published published -> {
          TargetEntry entry = published.entry();
          Target target = entry.target();
          yield new TargetRecord(
              published.position().offset(),
              target.id().value(),
              entry.pool().value(),
              target.host(),
              target.port(),
              target.failureDomain().value(),
              entry.slots(),
              entry.draining(),
              entry.startedAtMillis().orElse(-1),
              entry.sequence(),
              0,
              published.position().era());
        }
        case TargetChange.Removed removed ->
            new TargetRecord(
                removed.position().offset(),
                removed.id().value(),
                "",
                "",
                0,
                "",
                0,
                false,
                removed.lastReport().map(TargetReport::startedAtMillis).orElse(-1L),
                removed.lastReport().map(TargetReport::sequence).orElse(0L),
                removed.gracePeriod().toMillis(),
                removed.position().era());
      };
    }

    TargetChange toChange() {
      TargetId target = new TargetId(id);
      CatalogPosition position = new CatalogPosition(era, offset);
      if (pool.isEmpty()) {
        return new TargetChange.Removed(
            position,
            target,
            Duration.ofMillis(patienceMillis),
            startedAtMillis < 0
                ? Optional.empty()
                : Optional.of(new TargetReport(startedAtMillis, sequence)));
      }
      return new TargetChange.Published(
          position,
          new TargetEntry(
              new Target(
                  target,
                  host,
                  port,
                  new FailureDomain(failureDomain),
                  Math.max(0, startedAtMillis)),
              new PoolId(pool),
              slots,
              draining,
              startedAtMillis < 0 ? OptionalLong.empty() : OptionalLong.of(startedAtMillis),
              sequence));
    }
  }
}
