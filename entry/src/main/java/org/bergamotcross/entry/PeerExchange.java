package org.bergamotcross.entry;

import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.OfferResult;

/**
 * Carries messages between instances; provided by the exchange plug-in.
 *
 * <p>Messages are records; they travel as MessagePack under the name of their kind. Delivery is at
 * most once and in no guaranteed order.
 *
 * <pre>{@code
 * exchange.handle("token-ask", TokenAsk.class, (from, ask) -> ring.offer(new PeerAsk(from, ask)));
 * exchange.send(holder, "token-ask", new TokenAsk(organisation, 3.0));
 * }</pre>
 */
public interface PeerExchange {

  /**
   * Receives messages of one kind.
   *
   * @param <T> the type of the message
   */
  @FunctionalInterface
  interface Handler<T extends Record> {

    /**
     * Takes a message; called on the thread of the exchange duty, so it only offers it to a ring.
     *
     * @param from the sender
     * @param message the message
     */
    void receive(Sender from, T message);
  }

  /**
   * Who sent a message.
   *
   * @param id the instance
   * @param incarnation its incarnation
   */
  record Sender(InstanceId id, long incarnation) {}

  /**
   * Registers the receiver of a kind of message; called while plug-ins are configured or started.
   *
   * @param kind the name of the kind on the wire, unique
   * @param type the record type of the message
   * @param handler the receiver
   * @param <T> the type of the message
   * @throws IllegalStateException if the kind has a receiver already
   */
  <T extends Record> void handle(String kind, Class<T> type, Handler<T> handler);

  /**
   * Sends a message and returns at once.
   *
   * @param to the receiver; a message to the own instance is delivered locally
   * @param kind the name of the kind
   * @param message the message
   * @return {@link OfferResult.Full} when the exchange has no room; the message is not sent. A
   *     message to a peer whose link is down is dropped and counted in {@code peer.frames-dropped}
   */
  OfferResult send(InstanceId to, String kind, Record message);

  /**
   * Sends a message to each other member that is connected.
   *
   * @param kind the name of the kind
   * @param message the message
   */
  void sendAll(String kind, Record message);

  /**
   * Returns the incarnation of this process.
   *
   * @return a number that is new each time the process starts
   */
  long incarnation();
}
