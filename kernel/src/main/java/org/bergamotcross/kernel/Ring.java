package org.bergamotcross.kernel;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Joins duty threads with a bounded queue that has one consumer and many producers.
 *
 * <p>Half of the capacity is reserved for messages that complete work already accepted, because a
 * lost completion would leak a slot of a target. New work is refused as soon as the other half is
 * in use.
 *
 * <pre>{@code
 * switch (ring.offer(message)) {
 *   case OfferResult.Accepted accepted -> {}
 *   case OfferResult.Full full -> refuse(full.ring());
 * }
 * }</pre>
 *
 * @param <T> the type of the messages
 */
public final class Ring<T> {
  private static final OfferResult ACCEPTED = new OfferResult.Accepted();

  private final String name;
  private final int capacity;
  private final ArrayBlockingQueue<T> queue;

  /**
   * Creates an empty ring.
   *
   * @param name the name that appears in refusals and metrics
   * @param capacity the number of messages it holds, at least 2
   * @throws IllegalArgumentException if the capacity is below 2
   */
  public Ring(String name, int capacity) {
    if (capacity < 2) {
      throw new IllegalArgumentException(
          "ring " + name + " has capacity " + capacity + "; use 2 or more");
    }
    this.name = name;
    this.capacity = capacity;
    this.queue = new ArrayBlockingQueue<>(capacity);
  }

  /**
   * Offers new work and returns at once.
   *
   * @param message the message
   * @return {@link OfferResult.Full} when the half that is open to new work is in use
   */
  public OfferResult offer(T message) {
    if (queue.size() >= capacity / 2) {
      return new OfferResult.Full(name, capacity);
    }
    return offerReserved(message);
  }

  /**
   * Offers a message that completes accepted work, and may use the reserved half.
   *
   * @param message the message
   * @return {@link OfferResult.Full} when the whole ring is in use
   */
  public OfferResult offerReserved(T message) {
    return queue.offer(message) ? ACCEPTED : new OfferResult.Full(name, capacity);
  }

  /**
   * Takes the oldest message and parks the thread until there is one or the time is over.
   *
   * @param timeout the longest wait
   * @return the message, or nothing when the time is over
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public Optional<T> poll(Duration timeout) throws InterruptedException {
    return Optional.ofNullable(queue.poll(timeout.toNanos(), TimeUnit.NANOSECONDS));
  }

  /**
   * Returns the number of waiting messages.
   *
   * @return the present fill, for metrics
   */
  public int size() {
    return queue.size();
  }

  /**
   * Returns the name of the ring.
   *
   * @return the name that appears in refusals and metrics
   */
  public String name() {
    return name;
  }
}
