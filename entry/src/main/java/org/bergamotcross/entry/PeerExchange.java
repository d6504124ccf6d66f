package org.bergamotcross.entry;

import java.util.function.BinaryOperator;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.RingOfferResult;

/**
 * Sends and receives messages between instances; provided by the exchange plug-in.
 *
 * <p>Messages are records that are encoded as MessagePack and identified by the name of their kind.
 * Delivery is at most once, in no guaranteed order.
 *
 * <pre>{@code
 * exchange.handle(
 *     "bucket-ask",
 *     BucketRequest.class,
 *     (from, request) -> ring.offer(new AdmissionEvent.PeerMessageReceived(from.id(), request)));
 * exchange.send(holder, "bucket-ask", new BucketRequest(1, organisation, 3));
 * }</pre>
 */
public interface PeerExchange {

  /**
   * Handles messages of one kind.
   *
   * @param <T> the type of the message
   */
  @FunctionalInterface
  interface Handler<T extends Record> {

    /**
     * Handles a message. Called on the thread of the exchange duty, so implementations must not
     * block and only offer the message to a ring.
     *
     * @param from the sender
     * @param message the message
     */
    void receive(Sender from, T message);
  }

  /**
   * The sender of a message.
   *
   * @param id the id of the sending instance
   * @param incarnation the incarnation of its process
   * @param via the instance that passed the message on; the sender itself if there was none
   */
  record Sender(InstanceId id, long incarnation, InstanceId via) {

    /**
     * Creates the sender of a message that nobody passed on.
     *
     * @param id the id of the sending instance
     * @param incarnation the incarnation of its process
     */
    public Sender(InstanceId id, long incarnation) {
      this(id, incarnation, id);
    }
  }

  /**
   * Registers the handler for a kind of message; called while plug-ins are configured or started.
   *
   * @param kind the unique name of the kind on the wire
   * @param type the record type of the message
   * @param handler the handler
   * @param <T> the type of the message
   * @throws IllegalStateException if the kind already has a handler
   */
  <T extends Record> void handle(String kind, Class<T> type, Handler<T> handler);

  /**
   * Lets relays merge messages of one kind that they pass on to all instances at the same time. The
   * sender of a merged message is the relay. An exchange without relays merges nothing.
   *
   * @param kind the name of the kind
   * @param type the record type of the message
   * @param merger merges two messages into one that has the effect of both
   * @param <T> the type of the message
   */
  default <T extends Record> void mergeBy(String kind, Class<T> type, BinaryOperator<T> merger) {}

  /**
   * Sends a message without blocking.
   *
   * @param to the receiving instance; a message to the own instance is delivered locally
   * @param kind the name of the kind
   * @param message the message
   * @return {@link RingOfferResult.Full} when the ring of the exchange is full and the message was
   *     not sent. A message to a peer whose link is down is dropped and counted in {@code
   *     peer.frames-dropped}
   */
  RingOfferResult send(InstanceId to, String kind, Record message);

  /**
   * Sends a message to every other instance, in a large fleet through relays.
   *
   * @param kind the name of the kind
   * @param message the message
   */
  void sendAll(String kind, Record message);

  /**
   * Returns the incarnation of this process.
   *
   * @return a number that differs for each start of the process
   */
  long incarnation();
}
