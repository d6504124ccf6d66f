package org.bergamotcross.entry.peer;

/**
 * Wraps one message between instances with its kind and sender; each frame carries one envelope.
 *
 * @param kind the wire name of the message kind
 * @param from the id of the sender
 * @param incarnation the incarnation of the sender
 * @param body the message encoded as MessagePack
 */
// Written to the wire once and never changed or compared.
@SuppressWarnings("ArrayRecordComponent")
record Envelope(String kind, String from, long incarnation, byte[] body) {}
