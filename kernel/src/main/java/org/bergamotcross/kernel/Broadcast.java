package org.bergamotcross.kernel;

/**
 * Identifies a type of message that one plug-in publishes and any number of duties receive.
 *
 * @param name the name, unique within a process
 * @param <T> the type of the messages
 */
// The type parameter lets the compiler check the message type of publishers and subscribers.
@SuppressWarnings("UnusedTypeParameter")
public record Broadcast<T>(String name) {}
