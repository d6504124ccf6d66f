package org.bergamotcross.core.admission;

import org.bergamotcross.core.membership.InstanceId;

/**
 * A message that a state machine wants to be sent.
 *
 * @param to the receiver, which can be the own instance
 * @param message one of the records of this package
 */
public record PeerMessage(InstanceId to, Record message) {}
