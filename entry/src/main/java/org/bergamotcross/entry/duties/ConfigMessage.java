package org.bergamotcross.entry.duties;

import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.PeerExchange.Sender;
import org.bergamotcross.entry.platform.PlatformClient.AppendResult;
import org.bergamotcross.entry.platform.PlatformClient.ListResult;
import org.bergamotcross.entry.platform.PlatformClient.ReadResult;
import org.bergamotcross.kernel.ClockReading;

/** A message to the config duty. */
sealed interface ConfigMessage {

  /**
   * A read of the log completed.
   *
   * @param sentAt when the read was sent
   * @param from the first requested offset
   * @param result the records, or the reason why there are none
   */
  record LogReadCompleted(ClockReading sentAt, long from, ReadResult result)
      implements ConfigMessage {}

  /**
   * An append to the log completed.
   *
   * @param purpose the purpose of the appended record
   * @param result the outcome as far as it is known
   */
  record AppendCompleted(AppendPurpose purpose, AppendResult result) implements ConfigMessage {}

  /**
   * A read of the instance list completed.
   *
   * @param result the list, or the reason why there is none
   */
  record InstanceListReadCompleted(ListResult result) implements ConfigMessage {}

  /**
   * Peers echoed heartbeats.
   *
   * @param echoed the echoes
   */
  record HeartbeatsEchoed(Broadcasts.HeartbeatEchoes echoed) implements ConfigMessage {}

  /**
   * A message from the config duty of a peer arrived.
   *
   * @param from the sending peer
   * @param message the message
   */
  record CatchUpMessageReceived(Sender from, CatchUpMessage message) implements ConfigMessage {}

  /** A graceful shutdown started. */
  record ShutdownStarted() implements ConfigMessage {}

  /** The purpose of an append; at most one append for each purpose is open. */
  enum AppendPurpose {
    /** Makes this instance a member. */
    JOIN,
    /** Ends the membership of this instance. */
    LEAVE,
    /** Ends the membership of another instance. */
    EXPEL,
    /** Appends a snapshot of the state. */
    SNAPSHOT
  }
}
