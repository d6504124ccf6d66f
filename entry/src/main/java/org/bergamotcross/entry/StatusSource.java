package org.bergamotcross.entry;

import java.util.Map;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Members;

/** Tells which configuration an instance has; provided by the config plug-in. */
@FunctionalInterface
public interface StatusSource {

  /**
   * Returns the present status; safe on any thread.
   *
   * @return the status after the last message that the config duty handled
   */
  Status status();

  /**
   * Which configuration an instance has, and how far it knows it to be in force.
   *
   * @param instance the instance
   * @param incarnation its incarnation
   * @param offset the offset of the last folded record, -1 for none
   * @param scanning whether records are missing that the log no longer retains
   * @param versions the offset of the edit in force, by team
   * @param members the members and their epoch
   * @param freshness until when keys, shares and claims may be used
   * @param peerOffsets the offsets that the peers have shown; one that is lower than {@code offset}
   *     belongs to an instance that does not have the latest records
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

    /** Copies the maps. */
    public Status {
      versions = Map.copyOf(versions);
      peerOffsets = Map.copyOf(peerOffsets);
    }
  }
}
