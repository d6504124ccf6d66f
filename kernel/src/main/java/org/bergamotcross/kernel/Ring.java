package org.bergamotcross.kernel;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Passes messages to a duty thread through a bounded queue with many producers and one consumer.
 *
 * <p>Half of the capacity is reserved for messages that complete accepted work, because a lost
 * completion would leak a slot of a target. New work is rejected when half of the ring is in use.
 *
 * <pre>{@code
 * switch (ring.offer(message)) {
 *   case RingOfferResult.Accepted accepted -> {}
 *   case RingOfferResult.Full full -> reject(full.ring());
 * }
 * }</pre>
 *
 * @param <T> the type of the messages
 */
public final class Ring<T> {
  private static final RingOfferResult ACCEPTED = new RingOfferResult.Accepted();

  private final String name;
  private final int capacity;
  private final ArrayBlockingQueue<T> queue;

  /**
   * Creates an empty ring.
   *
   * @param name the name used in {@link RingOfferResult.Full} and in metrics
   * @param capacity the maximum number of messages, at least 2
   * @throws IllegalArgumentException if the capacity is below 2
   */
  public Ring(String name, int capacity) {
    if (capacity < 2) {
      throw new IllegalArgumentException(
          "ring " + name + " has capacity " + capacity + "; expected at least 2");
    }
    this.name = name;
    this.capacity = capacity;
    this.queue = new ArrayBlockingQueue<>(capacity);
  }

  /**
   * Offers a message that starts new work, without blocking.
   *
   * @param message the message
   * @return {@link RingOfferResult.Full} if half of the ring is in use
   */
  public RingOfferResult offer(T message) {
    if (queue.size() >= capacity / 2) {
      return new RingOfferResult.Full(name, capacity);
    }
    return offerReserved(message);
  }

  /**
   * Offers a message that completes accepted work and may use the reserved half, without blocking.
   *
   * @param message the message
   * @return {@link RingOfferResult.Full} if the whole ring is in use
   */
  public RingOfferResult offerReserved(T message) {
    return queue.offer(message) ? ACCEPTED : new RingOfferResult.Full(name, capacity);
  }

  /**
   * Removes the oldest message, parking the thread until there is one or the timeout expires.
   *
   * @param timeout the maximum time to wait
   * @return the message, or empty if the timeout expires
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public Optional<T> poll(Duration timeout) throws InterruptedException {
    return Optional.ofNullable(queue.poll(timeout.toNanos(), TimeUnit.NANOSECONDS));
  }

  /**
   * Returns the number of messages in the ring.
   *
   * @return the current size
   */
  public int size() {
    return queue.size();
  }

  /**
   * Returns the name of the ring.
   *
   * @return the name used in {@link RingOfferResult.Full} and in metrics
   */
  public String name() {
    return name;
  }
}
