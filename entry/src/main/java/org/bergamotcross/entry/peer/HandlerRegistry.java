package org.bergamotcross.entry.peer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.bergamotcross.entry.PeerExchange.Handler;
import org.bergamotcross.entry.PeerExchange.Sender;

/** Keeps the receivers of the kinds of peer messages; safe on any thread. */
final class HandlerRegistry {

  private record Entry<T extends Record>(Class<T> type, Handler<T> handler) {
    boolean deliver(Sender from, byte[] body, PeerCodec codec) {
      Optional<T> message = codec.decode(body, type);
      message.ifPresent(m -> handler.receive(from, m));
      return message.isPresent();
    }

    void deliver(Sender from, Record message) {
      handler.receive(from, type.cast(message));
    }
  }

  private final Map<String, Entry<?>> entries = new ConcurrentHashMap<>();

  <T extends Record> void add(String kind, Class<T> type, Handler<T> handler) {
    if (entries.putIfAbsent(kind, new Entry<>(type, handler)) != null) {
      throw new IllegalStateException("peer messages of kind " + kind + " have a receiver already");
    }
  }

  /**
   * Delivers a message that came over the wire.
   *
   * @param kind the kind
   * @param from the sender
   * @param body the message as MessagePack
   * @param codec decodes the message
   * @return whether there is a receiver and the message could be decoded
   */
  boolean deliver(String kind, Sender from, byte[] body, PeerCodec codec) {
    Entry<?> entry = entries.get(kind);
    return entry != null && entry.deliver(from, body, codec);
  }

  /**
   * Delivers a message of this instance to itself.
   *
   * @param kind the kind
   * @param from this instance
   * @param message the message
   */
  void deliver(String kind, Sender from, Record message) {
    Entry<?> entry = entries.get(kind);
    if (entry != null) {
      entry.deliver(from, message);
    }
  }
}
