package org.bergamotcross.entry.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BinaryOperator;
import org.bergamotcross.entry.PeerExchange.Handler;
import org.bergamotcross.entry.PeerExchange.Sender;

/** Maps each kind of peer message to its handler; thread-safe. */
final class HandlerRegistry {

  private record Registration<T extends Record>(Class<T> type, Handler<T> handler) {
    boolean deliver(Sender from, byte[] body, PeerCodec codec) {
      Optional<T> message = codec.decode(body, type);
      message.ifPresent(m -> handler.receive(from, m));
      return message.isPresent();
    }

    void deliver(Sender from, Record message) {
      handler.receive(from, type.cast(message));
    }
  }

  private record Merger<T extends Record>(Class<T> type, BinaryOperator<T> merger) {
    Optional<byte[]> merge(List<byte[]> bodies, PeerCodec codec) {
      List<T> messages =
          bodies.stream().flatMap(body -> codec.decode(body, type).stream()).toList();
      return messages.size() < bodies.size()
          ? Optional.empty()
          : messages.stream().reduce(merger).map(codec::encode);
    }
  }

  private final Map<String, Registration<?>> registrations = new ConcurrentHashMap<>();
  private final Map<String, Merger<?>> mergers = new ConcurrentHashMap<>();

  <T extends Record> void register(String kind, Class<T> type, Handler<T> handler) {
    if (registrations.putIfAbsent(kind, new Registration<>(type, handler)) != null) {
      throw new IllegalStateException(
          "a handler for peer messages of kind " + kind + " is already registered");
    }
  }

  <T extends Record> void registerMerger(String kind, Class<T> type, BinaryOperator<T> merger) {
    mergers.put(kind, new Merger<>(type, merger));
  }

  /**
   * Merges messages of one kind.
   *
   * @param kind the wire name of the kind
   * @param bodies the messages encoded as MessagePack
   * @param codec the codec for the bodies
   * @return the encoded merged message; empty if there is only one, if messages of the kind can't
   *     be merged, or if one of them can't be decoded
   */
  Optional<byte[]> merge(String kind, List<byte[]> bodies, PeerCodec codec) {
    return bodies.size() < 2
        ? Optional.empty()
        : Optional.ofNullable(mergers.get(kind)).flatMap(merger -> merger.merge(bodies, codec));
  }

  /**
   * Decodes a message received from a peer and passes it to the handler of its kind.
   *
   * @param kind the wire name of the message kind
   * @param from the sender
   * @param body the message encoded as MessagePack
   * @param codec the codec for the body
   * @return whether a handler is registered and the body could be decoded
   */
  boolean deliver(String kind, Sender from, byte[] body, PeerCodec codec) {
    Registration<?> registration = registrations.get(kind);
    return registration != null && registration.deliver(from, body, codec);
  }

  /**
   * Passes a message that this instance sent to itself to the handler of its kind, if any.
   *
   * @param kind the wire name of the message kind
   * @param from this instance as the sender
   * @param message the message, which is not encoded
   */
  void deliver(String kind, Sender from, Record message) {
    Registration<?> registration = registrations.get(kind);
    if (registration != null) {
      registration.deliver(from, message);
    }
  }
}
