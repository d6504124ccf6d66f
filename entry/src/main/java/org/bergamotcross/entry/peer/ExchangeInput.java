package org.bergamotcross.entry.peer;

import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.membership.InstanceId;

/** The messages of the exchange duty. */
sealed interface ExchangeInput {

  /** A plug-in sends a message to one instance. */
  record Outbound(InstanceId to, String kind, Record message) implements ExchangeInput {}

  /** A plug-in sends a message to all members that are connected. */
  record OutboundToAll(String kind, Record message) implements ExchangeInput {}

  /** A frame arrived. */
  // The array belongs to the message and is never compared.
  @SuppressWarnings("ArrayRecordComponent")
  record Inbound(byte[] frame) implements ExchangeInput {}

  /** An outgoing connection has ended. */
  record LinkClosed(String address, long generation) implements ExchangeInput {}

  /** The configuration has changed. */
  record Configured(Configuration configuration) implements ExchangeInput {}
}
