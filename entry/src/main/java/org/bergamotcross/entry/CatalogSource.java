package org.bergamotcross.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.bergamotcross.core.config.ApiKey;
import org.bergamotcross.core.config.CatalogPosition;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Route;
import org.bergamotcross.core.config.TargetChange;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;

/**
 * Reads settings, targets and the instance directory from a store outside the fleet.
 *
 * <p>Provided by a plug-in that adapts a platform. All methods are asynchronous: the returned
 * stages complete within a time limit and never complete exceptionally.
 *
 * <p>The store may be restored from an older copy. Each restore raises the era of the positions in
 * its results; a result never mixes records of two eras.
 */
public interface CatalogSource {

  /**
   * The settings that operators have published.
   *
   * @param version the version assigned by the operator, which only increases
   * @param organisations the organisations; empty when callers need no keys
   * @param keys the keys
   * @param pools the pools that targets may join
   * @param routes the routes
   */
  record CatalogSettings(
      long version,
      List<Organisation> organisations,
      List<ApiKey> keys,
      List<PoolId> pools,
      List<Route> routes) {

    /** Makes unmodifiable copies of the lists. */
    public CatalogSettings {
      organisations = List.copyOf(organisations);
      keys = List.copyOf(keys);
      pools = List.copyOf(pools);
      routes = List.copyOf(routes);
    }
  }

  /**
   * The settings in their published encoding, passed on to instances that can't read the store.
   *
   * @param position the position of the document in the sequence of versions
   * @param content the encoded document
   */
  // The array is never modified, and records of this type are never compared.
  @SuppressWarnings("ArrayRecordComponent")
  record SettingsDocument(CatalogPosition position, byte[] content) {}

  /** The result of reading settings. */
  sealed interface SettingsReadResult {

    /**
     * The read succeeded.
     *
     * @param document the newest document; empty when there is none at or after the requested
     *     position
     * @param end the position after the newest record
     */
    record Read(Optional<SettingsDocument> document, CatalogPosition end)
        implements SettingsReadResult {}

    /**
     * The settings can't be read at the moment.
     *
     * @param reason what went wrong
     */
    record Unavailable(String reason) implements SettingsReadResult {}
  }

  /** The result of decoding a document. */
  sealed interface DecodeResult {

    /**
     * The document is valid.
     *
     * @param settings the decoded settings
     */
    record Valid(CatalogSettings settings) implements DecodeResult {}

    /**
     * The document can't be used.
     *
     * @param problem the location in the document, the value found and the value expected
     */
    record Invalid(String problem) implements DecodeResult {}
  }

  /** The result of reading the target list. */
  sealed interface TargetsReadResult {

    /**
     * The read returned the records from the requested position on, which is of the store's present
     * era.
     *
     * @param changes the usable records
     * @param end the position after the newest record
     */
    record Changes(List<TargetChange> changes, CatalogPosition end) implements TargetsReadResult {

      /** Makes an unmodifiable copy of the list. */
      public Changes {
        changes = List.copyOf(changes);
      }
    }

    /**
     * The read returned the newest record of each target, because no position was requested, the
     * records from there on have been deleted, or the store is in another era. A target without a
     * record here is not listed any more.
     *
     * @param records the usable records
     * @param end the position up to which the list is complete, exclusive
     */
    record CompleteList(List<TargetChange> records, CatalogPosition end)
        implements TargetsReadResult {

      /** Makes an unmodifiable copy of the list. */
      public CompleteList {
        records = List.copyOf(records);
      }
    }

    /**
     * The target list can't be read at the moment.
     *
     * @param reason what went wrong
     */
    record Unavailable(String reason) implements TargetsReadResult {}
  }

  /** The result of reading the instance directory. */
  sealed interface DirectoryReadResult {

    /**
     * The read succeeded.
     *
     * @param members the listed instances; some may no longer run
     * @param era the era of the store
     */
    record Read(List<Member> members, long era) implements DirectoryReadResult {

      /** Makes an unmodifiable copy of the list. */
      public Read {
        members = List.copyOf(members);
      }
    }

    /**
     * The directory can't be read at the moment.
     *
     * @param reason what went wrong
     */
    record Unavailable(String reason) implements DirectoryReadResult {}
  }

  /** The result of an update of the instance directory. */
  sealed interface DirectoryUpdateResult {

    /**
     * The update was acknowledged.
     *
     * @param era the era of the store in which it took effect
     */
    record Acknowledged(long era) implements DirectoryUpdateResult {}

    /**
     * The update was not acknowledged; it may or may not have been applied.
     *
     * @param reason what went wrong
     */
    record OutcomeUnknown(String reason) implements DirectoryUpdateResult {}
  }

  /**
   * Reads the newest settings.
   *
   * @param from the position after the newest known settings, {@link CatalogPosition#START} when
   *     none are known
   * @param wait how long the call may wait for settings at or after that position
   * @return a stage with the result
   */
  CompletionStage<SettingsReadResult> readSettings(CatalogPosition from, Duration wait);

  /**
   * Decodes a document.
   *
   * @param document the document
   * @return the settings, or the problem that makes the document invalid
   */
  DecodeResult decodeSettings(SettingsDocument document);

  /**
   * Reads records of the target list.
   *
   * @param from the position after the newest known record, {@link CatalogPosition#START} for the
   *     newest record of each target
   * @return a stage with the result
   */
  CompletionStage<TargetsReadResult> readTargets(CatalogPosition from);

  /**
   * Reads the instance directory.
   *
   * @return a stage with the result, which lists every instance whose registration was acknowledged
   *     before this call
   */
  CompletionStage<DirectoryReadResult> readDirectory();

  /**
   * Registers an instance in the directory, replacing an entry with the same id.
   *
   * @param instance the instance
   * @return a stage with the result
   */
  CompletionStage<DirectoryUpdateResult> register(Member instance);

  /**
   * Removes an instance from the directory.
   *
   * @param instance the instance
   * @return a stage with the result; acknowledged also when the instance was not listed, and of
   *     unknown outcome when the store was restored meanwhile
   */
  CompletionStage<DirectoryUpdateResult> deregister(InstanceId instance);
}
