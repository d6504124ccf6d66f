package org.bergamotcross.core.admission;

import org.bergamotcross.core.membership.InstanceId;

/**
 * A message that a state machine asks its caller to send.
 *
 * @param to the receiver, which may be this instance
 * @param message one of the message records of this package
 */
public record OutboundMessage(InstanceId to, Record message) {}
