package org.bergamotcross.entry;

import java.util.Map;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Members;

/** Provides the configuration status of this instance; implemented by the config plug-in. */
@FunctionalInterface
public interface StatusSource {

  /**
   * Returns the current status; thread-safe.
   *
   * @return the status as of the last message handled by the config duty
   */
  Status status();

  /**
   * The configuration that an instance has applied, and how long it is known to be in force.
   *
   * @param instance the id of the instance
   * @param incarnation the incarnation of its process
   * @param offset the log offset of the last applied record, -1 for none
   * @param scanning whether needed records are no longer retained by the log, so that it is scanned
   *     for a snapshot
   * @param versions the offset of the edit in force for each team
   * @param members the members and the membership epoch
   * @param freshness until when keys, rate shares and claims may be used
   * @param peerOffsets the last offset reported by each peer; a value below {@code offset} belongs
   *     to an instance that lacks the latest records
   */
  record Status(
      InstanceId instance,
      long incarnation,
      long offset,
      boolean scanning,
      Map<String, Long> versions,
      Members members,
      Broadcasts.Freshness freshness,
      Map<InstanceId, Long> peerOffsets) {

    /** Makes unmodifiable copies of the maps. */
    public Status {
      versions = Map.copyOf(versions);
      peerOffsets = Map.copyOf(peerOffsets);
    }
  }
}
