package org.bergamotcross.kernel;

/**
 * Identifies the ring of a duty, so that plug-ins can look it up without depending on the plug-in
 * that opened it.
 *
 * @param name the name, unique within a process
 * @param <T> the type of the messages
 */
// The type parameter lets the compiler check the message type of producers and the consumer.
@SuppressWarnings("UnusedTypeParameter")
public record Topic<T>(String name) {}
