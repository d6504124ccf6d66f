package org.bergamotcross.entry.peer;

import com.codahale.metrics.Meter;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.entry.PeerExchange.Sender;
import org.bergamotcross.entry.peer.Bundle.Item;
import org.bergamotcross.entry.peer.Bundle.Part;
import org.bergamotcross.kernel.ClockReading;

/**
 * Carries messages to all instances over relays, each of them to each instance at most once.
 *
 * <p>An instance that doesn't relay sends its messages to its primary relay. A relay passes what it
 * receives from a relay on to its subscribers, and what it receives from another instance also to
 * the other relays. Messages that were seen are dropped, so that relays that see different relays
 * form no loop.
 *
 * <p>A relay merges messages of the kinds that can be merged. A merged message names its parts and
 * is dropped by a receiver that has seen any of them, so that nothing counts twice. What the
 * relay's subscribers sent goes back to them unmerged, because each of them has seen its own
 * messages.
 */
final class MessageRelay {
  /** The minimum time between two bundles of a relay. */
  static final Duration BUNDLE_INTERVAL = Duration.ofMillis(50);

  /** Where a bundle goes. */
  enum Direction {
    /** To the primary relay, or to all linked peers while there is none. */
    PRIMARY,
    /** To the other relays. */
    RELAYS,
    /** To the instances that take this one as their primary relay. */
    SUBSCRIBERS
  }

  private record Pending(Item item, boolean isFromRelay) {}

  private final Member self;
  private final long ownOrigin;
  private final HandlerRegistry handlers;
  private final PeerCodec codec;
  private final Meter duplicates;
  private final Map<Long, SequenceWindow> windows = new HashMap<>();
  private final List<Item> own = new ArrayList<>();
  private final List<Pending> passedOn = new ArrayList<>();
  private long lastSequence;
  private Optional<ClockReading> sentAt = Optional.empty();

  MessageRelay(Member self, HandlerRegistry handlers, PeerCodec codec, Meter duplicates) {
    this.self = self;
    this.ownOrigin = originOf(self.id().value(), self.incarnation());
    this.handlers = handlers;
    this.codec = codec;
    this.duplicates = duplicates;
  }

  private static long originOf(String id, long incarnation) {
    byte[] name = id.getBytes(StandardCharsets.UTF_8);
    ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES + name.length).putLong(incarnation).put(name);
    return MurmurHash3.hash128x64(bytes.array())[0];
  }

  /**
   * Adds a message of this instance to all others.
   *
   * @param kind the wire name of the kind
   * @param message the message
   */
  void add(String kind, Record message) {
    lastSequence++;
    own.add(item(kind, codec.encode(message), List.of(new Part(ownOrigin, lastSequence))));
  }

  private Item item(String kind, byte[] body, List<Part> parts) {
    return new Item(self.id().value(), self.incarnation(), kind, body, parts);
  }

  /**
   * Delivers the messages of a bundle that were not seen yet, and keeps those to pass on.
   *
   * @param bundle the bundle
   * @param via the instance that sent it
   * @param isFromRelay whether that instance relays
   * @param isRelaying whether this instance relays
   * @return the number of messages that could not be decoded
   */
  int receive(Bundle bundle, InstanceId via, boolean isFromRelay, boolean isRelaying) {
    int unreadable = 0;
    for (Item item : bundle.items()) {
      if (!isNew(item)) {
        continue;
      }
      Sender from = new Sender(new InstanceId(item.from()), item.incarnation(), via);
      if (!handlers.deliver(item.kind(), from, item.body(), codec)) {
        unreadable++;
      }
      if (isRelaying) {
        passedOn.add(new Pending(item, isFromRelay));
      }
    }
    return unreadable;
  }

  private boolean isNew(Item item) {
    boolean isOwn = item.parts().stream().anyMatch(part -> part.origin() == ownOrigin);
    if (isOwn) {
      return false;
    }
    boolean isSeen = item.parts().stream().anyMatch(part -> window(part).contains(part.sequence()));
    if (isSeen) {
      duplicates.mark();
      return false;
    }
    item.parts().forEach(part -> window(part).add(part.sequence()));
    return true;
  }

  private SequenceWindow window(Part part) {
    return windows.computeIfAbsent(part.origin(), origin -> new SequenceWindow());
  }

  /** Forgets processes that have ended, once there are more of them than running ones. */
  void retainOrigins(List<Member> members) {
    if (windows.size() <= 2 * members.size()) {
      return;
    }
    List<Long> origins =
        members.stream().map(m -> originOf(m.id().value(), m.incarnation())).toList();
    windows.keySet().retainAll(origins);
  }

  /**
   * Returns when the next bundle is due, or empty if there is nothing to send.
   *
   * @param isRelaying whether this instance relays
   * @param now the current time
   */
  Optional<ClockReading> dueAt(boolean isRelaying, ClockReading now) {
    if (own.isEmpty() && passedOn.isEmpty()) {
      return Optional.empty();
    }
    return isRelaying
        ? sentAt
            .map(at -> at.plus(BUNDLE_INTERVAL))
            .filter(now::isBefore)
            .or(() -> Optional.of(now))
        : Optional.of(now);
  }

  /**
   * Removes the messages to send if they are due.
   *
   * @param isRelaying whether this instance relays
   * @param now the current time
   * @return the bundles by direction
   */
  Map<Direction, Bundle> takeDue(boolean isRelaying, ClockReading now) {
    if (dueAt(isRelaying, now).filter(at -> !now.isBefore(at)).isEmpty()) {
      return Map.of();
    }
    Map<Direction, Bundle> due = new LinkedHashMap<>();
    if (isRelaying) {
      List<Item> fromRelays = itemsFrom(true);
      List<Item> fromSubscribers = itemsFrom(false);
      List<Item> toRelays = new ArrayList<>(own);
      toRelays.addAll(fromSubscribers);
      addBundle(due, Direction.RELAYS, merge(toRelays));
      List<Item> toSubscribers = new ArrayList<>(fromSubscribers);
      fromRelays.addAll(own);
      toSubscribers.addAll(merge(fromRelays));
      addBundle(due, Direction.SUBSCRIBERS, toSubscribers);
    } else {
      addBundle(due, Direction.PRIMARY, own);
    }
    own.clear();
    passedOn.clear();
    sentAt = Optional.of(now);
    return due;
  }

  private List<Item> itemsFrom(boolean relays) {
    List<Item> items = new ArrayList<>();
    for (Pending pending : passedOn) {
      if (pending.isFromRelay() == relays) {
        items.add(pending.item());
      }
    }
    return items;
  }

  private static void addBundle(Map<Direction, Bundle> due, Direction direction, List<Item> items) {
    if (!items.isEmpty()) {
      due.put(direction, new Bundle(items));
    }
  }

  /** Merges the messages of each kind that can be merged, and keeps the others. */
  private List<Item> merge(List<Item> items) {
    Map<String, List<Item>> byKind = new LinkedHashMap<>();
    items.forEach(item -> byKind.computeIfAbsent(item.kind(), k -> new ArrayList<>()).add(item));
    List<Item> merged = new ArrayList<>();
    byKind.forEach(
        (kind, ofKind) ->
            handlers
                .merge(kind, ofKind.stream().map(Item::body).toList(), codec)
                .ifPresentOrElse(
                    body -> merged.add(item(kind, body, partsOf(ofKind))),
                    () -> merged.addAll(ofKind)));
    return merged;
  }

  private static List<Part> partsOf(List<Item> items) {
    return items.stream().flatMap(item -> item.parts().stream()).toList();
  }
}
