package org.bergamotcross.entry.peer;

import java.util.List;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;

/** Defines the messages that the exchange duty receives on its ring. */
sealed interface ExchangeInput {

  /** A plug-in requested that a message be sent to one instance. */
  record Outbound(InstanceId to, String kind, Record message) implements ExchangeInput {}

  /** A plug-in requested that a message be sent to all connected members. */
  record OutboundToAll(String kind, Record message) implements ExchangeInput {}

  /** A peer sent a frame. */
  // The message owns the array, and it is never compared.
  @SuppressWarnings("ArrayRecordComponent")
  record InboundFrame(byte[] frame) implements ExchangeInput {}

  /** An outgoing connection ended. */
  record LinkClosed(String address, long generation) implements ExchangeInput {}

  /**
   * The directory of instances was read.
   *
   * @param otherInstances the other instances in the directory
   * @param containsSelf whether the directory lists this instance
   */
  record DirectoryUpdated(List<Member> otherInstances, boolean containsSelf)
      implements ExchangeInput {
    /** Copies the list. */
    public DirectoryUpdated {
      otherInstances = List.copyOf(otherInstances);
    }
  }

  /** The process was asked to stop. */
  record ShutdownRequested() implements ExchangeInput {}

  /** An instance was removed from the directory. */
  record InstanceRemoved(InstanceId instance) implements ExchangeInput {}

  /** A new configuration is in force. */
  record ConfigurationChanged(Configuration configuration) implements ExchangeInput {}
}
