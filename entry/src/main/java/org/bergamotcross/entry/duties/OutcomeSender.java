package org.bergamotcross.entry.duties;

import org.bergamotcross.core.membership.InstanceId;

/** Sends outcomes of requests to peers. */
interface OutcomeSender {

  /**
   * Sends a message to all reachable peers.
   *
   * @param message the message
   */
  void sendAll(OutcomeMessage message);

  /**
   * Sends a message to one peer.
   *
   * @param peer the peer
   * @param message the message
   */
  void send(InstanceId peer, OutcomeMessage message);
}
