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

/** The messages between the catalog duties of instances. */
final class CatalogMessages {
  static final String NEWS = "catalog-news";
  static final String ASK = "catalog-ask";
  static final String STATE = "catalog-state";

  private CatalogMessages() {}

  /**
   * Tells of a read: all records of the list of targets before {@code to} are known to whoever knew
   * those before {@code from} and takes these.
   *
   * @param settingsEnd the offset after the newest settings that the sender has
   * @param from the offset from which the sender has read
   * @param to the offset up to which it has read
   * @param changes the records that are more than a sign of life
   */
  record News(long settingsEnd, long from, long to, List<Item> changes) {
    /** Copies the list. */
    News {
      changes = List.copyOf(changes);
    }
  }

  /**
   * Asks a peer for what it has beyond the own offsets.
   *
   * @param settingsEnd the offset after the newest settings that the sender has
   * @param targetsEnd the offset up to which it knows the list of targets
   */
  record Ask(long settingsEnd, long targetsEnd) {}

  /**
   * Sends what a peer lacks.
   *
   * @param settingsOffset the offset of the settings, -1 when the peer lacks none
   * @param settings the document
   * @param targetsEnd the offset up to which the list of targets is known, -1 when the peer lacks
   *     nothing of it
   * @param targets one record for each target
   */
  // Written to the wire once and never changed or compared.
  @SuppressWarnings("ArrayRecordComponent")
  record State(long settingsOffset, byte[] settings, long targetsEnd, List<Item> targets) {
    /** Copies the list. */
    State {
      targets = List.copyOf(targets);
    }

    Optional<CatalogSource.SettingsDocument> document() {
      return settingsOffset < 0
          ? Optional.empty()
          : Optional.of(new CatalogSource.SettingsDocument(settingsOffset, settings));
    }
  }

  /**
   * A {@link TargetChange}.
   *
   * @param pool the pool, empty for a removed target
   * @param startedAtMillis the start of the target, -1 when it is not named
   * @param patienceMillis how long a removed target may still be used, in ms
   */
  record Item(
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

    static Item of(TargetChange change) {
      return switch (change) {
        case TargetChange.Published published -> {
          TargetEntry entry = published.entry();
          Target target = entry.target();
          yield new Item(
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
            new Item(
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
                removed.patience().toMillis());
      };
    }

    TargetChange change() {
      TargetId target = new TargetId(id);
      if (pool.isEmpty()) {
        return new TargetChange.Removed(offset, target, Duration.ofMillis(patienceMillis));
      }
      return new TargetChange.Published(
          offset,
          new TargetEntry(
              new Target(target, host, port, new FailureDomain(failureDomain)),
              new PoolId(pool),
              slots,
              draining,
              startedAtMillis < 0 ? OptionalLong.empty() : OptionalLong.of(startedAtMillis),
              sequence));
    }
  }
}
