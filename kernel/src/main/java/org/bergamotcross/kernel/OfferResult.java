package org.bergamotcross.kernel;

/** The result of offering a message to a {@link Ring}. */
public sealed interface OfferResult {

  /** The message is in the ring and will be handled. */
  record Accepted() implements OfferResult {}

  /**
   * The ring had no room; the message was not taken and nothing will happen for it.
   *
   * @param ring the name of the ring
   * @param capacity the number of messages that the ring holds
   */
  record Full(String ring, int capacity) implements OfferResult {}

  /**
   * Tells whether the message was taken.
   *
   * @return whether this is {@link Accepted}
   */
  default boolean isAccepted() {
    return this instanceof Accepted;
  }
}
