package org.bergamotcross.entry.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import org.bergamotcross.kernel.Now;
import org.bergamotcross.kernel.Setting;

/**
 * Keeps one link open to each wanted address and opens it again after it has ended.
 *
 * <p>A link without an echo for {@link #ECHO_TIMEOUT} is opened anew: after a partition TCP may
 * wait minutes before it sends again on the old connection.
 */
final class LinkSet implements AutoCloseable {
  /** How long a link may be without an echo before it is opened anew. */
  static final Duration ECHO_TIMEOUT = Duration.ofSeconds(5);

  private static final Duration FIRST_BACKOFF = Duration.ofMillis(200);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

  private static final class Entry {
    PeerLink link;
    long generation;
    Now renewAt;
    Now retryAt;
    Duration backoff = FIRST_BACKOFF;
  }

  private final BiFunction<InetSocketAddress, Runnable, PeerLink> opener;
  private final BiConsumer<String, Long> onClosed;
  private final Map<String, Entry> entries = new HashMap<>();

  /**
   * Creates a set without links.
   *
   * @param opener opens a link and calls its second argument when the link has ended
   * @param onClosed is told the address and generation of a link that has ended
   */
  LinkSet(
      BiFunction<InetSocketAddress, Runnable, PeerLink> opener, BiConsumer<String, Long> onClosed) {
    this.opener = opener;
    this.onClosed = onClosed;
  }

  /**
   * Opens what is wanted and due, and closes what is not wanted any more.
   *
   * @param wanted the addresses
   * @param now the present time
   * @return the addresses whose link was opened by this call
   */
  Set<String> maintain(Set<String> wanted, Now now) {
    closeUnwanted(wanted);
    Set<String> opened = new java.util.HashSet<>();
    for (String address : wanted) {
      Entry entry = entries.computeIfAbsent(address, a -> new Entry());
      if (entry.link != null && !now.isBefore(entry.renewAt)) {
        drop(entry, now);
      }
      boolean due = entry.retryAt == null || !now.isBefore(entry.retryAt);
      if (entry.link == null && due && open(address, entry, now)) {
        opened.add(address);
      }
    }
    return opened;
  }

  private boolean open(String address, Entry entry, Now now) {
    var socket = Setting.parseAddress(address);
    if (socket.isEmpty()) {
      return false;
    }
    long generation = ++entry.generation;
    entry.link = opener.apply(socket.get(), () -> onClosed.accept(address, generation));
    entry.renewAt = now.plus(ECHO_TIMEOUT);
    return true;
  }

  /**
   * Takes the end of a link.
   *
   * @param address the address
   * @param generation the generation that was given to the closed callback
   * @param now the present time
   */
  void closed(String address, long generation, Now now) {
    Entry entry = entries.get(address);
    if (entry != null && entry.generation == generation && entry.link != null) {
      drop(entry, now);
    }
  }

  private static void drop(Entry entry, Now now) {
    entry.link.close();
    entry.link = null;
    entry.retryAt = now.plus(entry.backoff);
    Duration doubled = entry.backoff.multipliedBy(2);
    entry.backoff = doubled.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : doubled;
  }

  /**
   * Takes a proof that the peer hears this instance.
   *
   * @param address the address of the peer
   * @param now the present time
   */
  void echoed(String address, Now now) {
    Entry entry = entries.get(address);
    if (entry != null) {
      entry.renewAt = now.plus(ECHO_TIMEOUT);
      entry.backoff = FIRST_BACKOFF;
    }
  }

  /**
   * Offers a frame to a link.
   *
   * @param address the address
   * @param frame the content of the frame
   * @return whether the link is open and has room
   */
  boolean offer(String address, byte[] frame) {
    Entry entry = entries.get(address);
    return entry != null && entry.link != null && entry.link.offer(frame);
  }

  private void closeUnwanted(Set<String> wanted) {
    Iterator<Map.Entry<String, Entry>> iterator = entries.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<String, Entry> next = iterator.next();
      if (!wanted.contains(next.getKey())) {
        if (next.getValue().link != null) {
          next.getValue().link.close();
        }
        iterator.remove();
      }
    }
  }

  @Override
  public void close() {
    closeUnwanted(Set.of());
  }
}
