package org.bergamotcross.kernel;

/** The result of offering a message to a {@link Ring}. */
public sealed interface RingOfferResult {

  /** Indicates that the message was added to the ring and will be handled. */
  record Accepted() implements RingOfferResult {}

  /**
   * Indicates that the ring was full; the message was discarded and won't be handled.
   *
   * @param ring the name of the ring
   * @param capacity the maximum number of messages in the ring
   */
  record Full(String ring, int capacity) implements RingOfferResult {}

  /**
   * Returns whether the message was added.
   *
   * @return true if this is an {@link Accepted}
   */
  default boolean isAccepted() {
    return this instanceof Accepted;
  }
}
