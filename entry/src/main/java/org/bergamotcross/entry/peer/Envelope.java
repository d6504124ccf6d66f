package org.bergamotcross.entry.peer;

/**
 * One frame between instances.
 *
 * @param kind the name of the kind of message
 * @param from the id of the sender
 * @param incarnation the incarnation of the sender
 * @param body the message as MessagePack
 */
// Written to the wire once and never changed or compared.
@SuppressWarnings("ArrayRecordComponent")
record Envelope(String kind, String from, long incarnation, byte[] body) {}
