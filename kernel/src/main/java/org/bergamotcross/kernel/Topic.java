package org.bergamotcross.kernel;

/**
 * Names the ring of a duty, so that plug-ins find it without knowing the plug-in that opened it.
 *
 * @param name the name, unique in a process
 * @param <T> the type of the messages
 */
// The parameter ties the type of the messages to the name at compile time.
@SuppressWarnings("UnusedTypeParameter")
public record Topic<T>(String name) {}
