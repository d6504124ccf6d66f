package org.bergamotcross.entry.duties;

import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.PeerExchange.Sender;
import org.bergamotcross.entry.platform.PlatformClient.AppendResult;
import org.bergamotcross.entry.platform.PlatformClient.ListResult;
import org.bergamotcross.entry.platform.PlatformClient.ReadResult;
import org.bergamotcross.kernel.Now;

/** The messages of the config duty. */
sealed interface ConfigInput {

  /**
   * A read of the log ended.
   *
   * @param sentAt when the read was sent
   * @param from the first offset that was asked for
   * @param result the records, or why there are none
   */
  record ReadEnded(Now sentAt, long from, ReadResult result) implements ConfigInput {}

  /**
   * An append to the log ended.
   *
   * @param purpose what was appended
   * @param result what is known of it
   */
  record AppendEnded(Purpose purpose, AppendResult result) implements ConfigInput {}

  /**
   * A read of the instance list ended.
   *
   * @param result the list, or why there is none
   */
  record ListEnded(ListResult result) implements ConfigInput {}

  /**
   * A peer answered a beat.
   *
   * @param echo the answer
   */
  record Echoed(Broadcasts.HeartbeatEcho echo) implements ConfigInput {}

  /**
   * A message of a peer arrived.
   *
   * @param from the peer
   * @param message the message
   */
  record FromPeer(Sender from, PeerMessage message) implements ConfigInput {}

  /** The planned stop began. */
  record Stop() implements ConfigInput {}

  /** What an append is for; at most one append of each is open. */
  enum Purpose {
    /** Becoming a member. */
    JOIN,
    /** Ending the own membership. */
    LEAVE,
    /** Ending the membership of another instance. */
    EXPEL,
    /** Repeating the state. */
    SNAPSHOT
  }
}
