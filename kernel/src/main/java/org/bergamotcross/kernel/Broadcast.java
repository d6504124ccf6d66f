package org.bergamotcross.kernel;

/**
 * Names a kind of message that one plug-in publishes and any number of duties receive.
 *
 * @param name the name, unique in a process
 * @param <T> the type of the messages
 */
// The parameter ties the type of the messages to the name at compile time.
@SuppressWarnings("UnusedTypeParameter")
public record Broadcast<T>(String name) {}
