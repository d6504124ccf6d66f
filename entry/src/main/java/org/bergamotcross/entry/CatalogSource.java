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
  record Settings(
      long version,
      List<Organisation> organisations,
      List<Key> keys,
      List<PoolId> pools,
      List<Route> routes) {

    /** Copies the lists. */
    public Settings {
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
  record Document(long offset, byte[] content) {}

  /** The result of reading settings. */
  sealed interface SettingsRead {

    /**
     * The newest settings.
     *
     * @param document the document; nothing when there is none after the offset that was asked for
     * @param end the offset after the newest record
     */
    record Read(Optional<Document> document, long end) implements SettingsRead {}

    /**
     * The settings can't be read now.
     *
     * @param reason what went wrong
     */
    record Unavailable(String reason) implements SettingsRead {}
  }

  /** The result of decoding a document. */
  sealed interface Decoded {

    /**
     * The document is right.
     *
     * @param settings the settings
     */
    record Right(Settings settings) implements Decoded {}

    /**
     * The document can't be used.
     *
     * @param problem the place in the document, what it holds and what would be right
     */
    record Wrong(String problem) implements Decoded {}
  }

  /** The result of reading the list of targets. */
  sealed interface TargetsRead {

    /**
     * Records of the list.
     *
     * @param changes the records that can be used
     * @param end the offset after the newest record
     */
    record Read(List<TargetChange> changes, long end) implements TargetsRead {

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
    record Unavailable(String reason) implements TargetsRead {}
  }

  /** The result of announcing an instance. */
  sealed interface Announced {

    /**
     * The instance is on the list.
     *
     * @param others the other instances on the list, of which some may have ended
     */
    record Listed(List<Member> others) implements Announced {

      /** Copies the list. */
      public Listed {
        others = List.copyOf(others);
      }
    }

    /**
     * The list can't be written or read now.
     *
     * @param reason what went wrong
     */
    record Unavailable(String reason) implements Announced {}
  }

  /**
   * Reads the newest settings.
   *
   * @param from the offset after the newest settings that are known, 0 for none
   * @param wait how long the answer may wait for settings after that offset
   * @return the settings to come
   */
  CompletionStage<SettingsRead> settings(long from, Duration wait);

  /**
   * Decodes a document.
   *
   * @param document the document
   * @return the settings, or what is wrong with them
   */
  Decoded decode(Document document);

  /**
   * Reads the records of the list of targets.
   *
   * @param from the offset after the newest record that is known, 0 for the newest record of each
   *     target
   * @return the records to come
   */
  CompletionStage<TargetsRead> targets(long from);

  /**
   * Puts an instance on the list of instances and reads the others.
   *
   * @param self the instance
   * @return the list to come
   */
  CompletionStage<Announced> announce(Member self);
}
