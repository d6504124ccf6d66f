package org.bergamotcross.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.bergamotcross.core.config.Key;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Route;
import org.bergamotcross.core.config.TargetChange;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;

/**
 * Reads what operators and targets publish as whole documents outside the fleet.
 *
 * <p>A plug-in that adapts a platform provides it. All calls return at once, end within a time
 * limit and never complete exceptionally.
 */
public interface CatalogSource {

  /**
   * What operators have published.
   *
   * @param version the version that the operator gave, which only rises
   * @param organisations the organisations; none when callers need no keys
   * @param keys the keys
   * @param pools the pools that targets may join
   * @param routes the routes
   */
  record CatalogSettings(
      long version,
      List<Organisation> organisations,
      List<Key> keys,
      List<PoolId> pools,
      List<Route> routes) {

    /** Copies the lists. */
    public CatalogSettings {
      organisations = List.copyOf(organisations);
      keys = List.copyOf(keys);
      pools = List.copyOf(pools);
      routes = List.copyOf(routes);
    }
  }

  /**
   * Settings as they were published, for instances that can't read them by themselves.
   *
   * @param offset the place of the document among all versions
   * @param content the encoded document
   */
  // The array is never changed and never compared.
  @SuppressWarnings("ArrayRecordComponent")
  record SettingsDocument(long offset, byte[] content) {}

  /** The result of reading settings. */
  sealed interface SettingsReadResult {

    /**
     * The newest settings.
     *
     * @param document the document; nothing when there is none after the offset that was asked for
     * @param end the offset after the newest record
     */
    record Read(Optional<SettingsDocument> document, long end) implements SettingsReadResult {}

    /**
     * The settings can't be read now.
     *
     * @param reason what went wrong
     */
    record Unavailable(String reason) implements SettingsReadResult {}
  }

  /** The result of decoding a document. */
  sealed interface DecodeResult {

    /**
     * The document is right.
     *
     * @param settings the settings
     */
    record Valid(CatalogSettings settings) implements DecodeResult {}

    /**
     * The document can't be used.
     *
     * @param problem the place in the document, what it holds and what would be right
     */
    record Invalid(String problem) implements DecodeResult {}
  }

  /** The result of reading the list of targets. */
  sealed interface TargetsReadResult {

    /**
     * Records of the list.
     *
     * @param changes the records that can be used
     * @param end the offset after the newest record
     */
    record Read(List<TargetChange> changes, long end) implements TargetsReadResult {

      /** Copies the list. */
      public Read {
        changes = List.copyOf(changes);
      }
    }

    /**
     * The list can't be read now.
     *
     * @param reason what went wrong
     */
    record Unavailable(String reason) implements TargetsReadResult {}
  }

  /** The result of reading the directory of instances. */
  sealed interface DirectoryReadResult {

    /**
     * The instances of the directory.
     *
     * @param members the instances, of which some may have ended
     */
    record Read(List<Member> members) implements DirectoryReadResult {

      /** Copies the list. */
      public Read {
        members = List.copyOf(members);
      }
    }

    /**
     * The directory can't be read now.
     *
     * @param reason what went wrong
     */
    record Unavailable(String reason) implements DirectoryReadResult {}
  }

  /** The result of changing the directory of instances. */
  sealed interface DirectoryUpdateResult {

    /** The change is acknowledged. */
    record Acknowledged() implements DirectoryUpdateResult {}

    /**
     * The change was not acknowledged; it may have been made.
     *
     * @param reason what went wrong
     */
    record OutcomeUnknown(String reason) implements DirectoryUpdateResult {}
  }

  /**
   * Reads the newest settings.
   *
   * @param from the offset after the newest settings that are known, 0 for none
   * @param wait how long the answer may wait for settings after that offset
   * @return the settings to come
   */
  CompletionStage<SettingsReadResult> readSettings(long from, Duration wait);

  /**
   * Decodes a document.
   *
   * @param document the document
   * @return the settings, or what is wrong with them
   */
  DecodeResult decodeSettings(SettingsDocument document);

  /**
   * Reads the records of the list of targets.
   *
   * @param from the offset after the newest record that is known, 0 for the newest record of each
   *     target
   * @return the records to come
   */
  CompletionStage<TargetsReadResult> readTargets(long from);

  /**
   * Reads the directory of instances.
   *
   * @return the instances to come; each one whose entry was acknowledged before this call
   */
  CompletionStage<DirectoryReadResult> readDirectory();

  /**
   * Enters an instance in the directory, in place of an entry of the same name.
   *
   * @param instance the instance
   * @return the result to come
   */
  CompletionStage<DirectoryUpdateResult> register(Member instance);

  /**
   * Removes an instance from the directory.
   *
   * @param instance the instance
   * @return the result to come; done also when the directory does not name it
   */
  CompletionStage<DirectoryUpdateResult> deregister(InstanceId instance);
}
