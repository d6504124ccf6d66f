package org.bergamotcross.entry.catalog;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetChange;
import org.bergamotcross.core.config.TargetEntry;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.entry.CatalogSource;

/** Defines the messages that the catalog duties of the instances exchange. */
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
   */
  record Update(
      long settingsEnd, long from, long to, List<TargetRecord> changes, boolean complete) {
    /** Copies the list. */
    Update {
      changes = List.copyOf(changes);
    }
  }

  /**
   * Reports that the sender has read the settings, also when there were no new ones.
   *
   * @param settingsEnd the offset after the settings in force at the sender, 0 if it has none
   */
  record SettingsRead(long settingsEnd) {}

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
   */
  record SyncRequest(long settingsEnd, long targetsEnd) {}

  /**
   * Answers a {@link SyncRequest} with the state that the requester is missing.
   *
   * @param settingsOffset the offset of the settings, -1 if the requester is missing none
   * @param settings the encoded settings document, empty if the requester is missing none
   * @param targetsEnd the offset up to which the sender knows the list of targets, exclusive; -1 if
   *     the requester is missing none of it
   * @param targets one record for each target
   */
  // Written to the wire once and never changed or compared.
  @SuppressWarnings("ArrayRecordComponent")
  record SyncResponse(
      long settingsOffset, byte[] settings, long targetsEnd, List<TargetRecord> targets) {
    /** Copies the list. */
    SyncResponse {
      targets = List.copyOf(targets);
    }

    Optional<CatalogSource.SettingsDocument> document() {
      return settingsOffset < 0
          ? Optional.empty()
          : Optional.of(new CatalogSource.SettingsDocument(settingsOffset, settings));
    }
  }

  /**
   * The wire form of a {@link TargetChange}.
   *
   * @param pool the pool, empty for a tombstone, that is, a removed target
   * @param startedAtMillis the start time of the target in ms, -1 if unknown
   * @param patienceMillis how long a removed target may still be used, in ms
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
      long patienceMillis) {

    static TargetRecord of(TargetChange change) {
      return switch (change) {
        case TargetChange.Published published -> {
          TargetEntry entry = published.entry();
          Target target = entry.target();
          yield new TargetRecord(
              published.offset(),
              target.id().value(),
              entry.pool().value(),
              target.host(),
              target.port(),
              target.failureDomain().value(),
              entry.slots(),
              entry.draining(),
              entry.startedAtMillis().orElse(-1),
              entry.sequence(),
              0);
        }
        case TargetChange.Removed removed ->
            new TargetRecord(
                removed.offset(),
                removed.id().value(),
                "",
                "",
                0,
                "",
                0,
                false,
                -1,
                0,
                removed.gracePeriod().toMillis());
      };
    }

    TargetChange toChange() {
      TargetId target = new TargetId(id);
      if (pool.isEmpty()) {
        return new TargetChange.Removed(offset, target, Duration.ofMillis(patienceMillis));
      }
      return new TargetChange.Published(
          offset,
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
