package org.bergamotcross.entry.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.Setting;

/**
 * Maintains one outgoing link to each wanted address and reconnects with back-off.
 *
 * <p>A link without an echo for {@link #ECHO_TIMEOUT} is closed and opened again: after a network
 * partition, TCP may wait for minutes before it retransmits on the old connection.
 */
final class LinkSet implements AutoCloseable {
  /** How long a link may go without an echo before it is replaced. */
  static final Duration ECHO_TIMEOUT = Duration.ofSeconds(5);

  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(200);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

  private static final class LinkState {
    PeerLink link;
    long generation;
    ClockReading echoDeadline;
    ClockReading reconnectAt;
    Duration backoff = INITIAL_BACKOFF;
  }

  private final BiFunction<InetSocketAddress, Runnable, Optional<PeerLink>> linkFactory;
  private final BiConsumer<String, Long> onClosed;
  private final Map<String, LinkState> links = new HashMap<>();

  /**
   * Creates an empty set.
   *
   * @param linkFactory opens a link and runs its second argument when the link ends; empty if no
   *     link can be opened now
   * @param onClosed receives the address and generation of each link that ends
   */
  LinkSet(
      BiFunction<InetSocketAddress, Runnable, Optional<PeerLink>> linkFactory,
      BiConsumer<String, Long> onClosed) {
    this.linkFactory = linkFactory;
    this.onClosed = onClosed;
  }

  /**
   * Opens the wanted links that are due, replaces stale ones and closes unwanted ones.
   *
   * @param wanted the addresses that should be linked
   * @param now the current time
   * @return the addresses whose link was opened by this call
   */
  Set<String> maintain(Set<String> wanted, ClockReading now) {
    closeUnwanted(wanted);
    Set<String> opened = new java.util.HashSet<>();
    for (String address : wanted) {
      LinkState state = links.computeIfAbsent(address, a -> new LinkState());
      if (state.link != null && !now.isBefore(state.echoDeadline)) {
        closeAndScheduleReconnect(state, now);
      }
      boolean due = state.reconnectAt == null || !now.isBefore(state.reconnectAt);
      if (state.link == null && due && open(address, state, now)) {
        opened.add(address);
      }
    }
    return opened;
  }

  private boolean open(String address, LinkState state, ClockReading now) {
    var socket = Setting.parseAddress(address);
    if (socket.isEmpty()) {
      return false;
    }
    long generation = ++state.generation;
    Optional<PeerLink> link =
        linkFactory.apply(socket.get(), () -> onClosed.accept(address, generation));
    if (link.isEmpty()) {
      scheduleReconnect(state, now);
      return false;
    }
    state.link = link.get();
    state.echoDeadline = now.plus(ECHO_TIMEOUT);
    return true;
  }

  /**
   * Schedules a reconnect after a link has ended.
   *
   * @param address the address of the link
   * @param generation the generation passed to the callback; a link that has been replaced since is
   *     left alone
   * @param now the current time
   * @return whether the link was still wanted
   */
  boolean handleClosed(String address, long generation, ClockReading now) {
    LinkState state = links.get(address);
    if (state != null && state.generation == generation && state.link != null) {
      closeAndScheduleReconnect(state, now);
    }
    return state != null;
  }

  /**
   * Returns whether there is a link to an address, established or being opened.
   *
   * @param address the address of the peer
   * @return whether a frame can be offered to it
   */
  boolean isOpen(String address) {
    LinkState state = links.get(address);
    return state != null && state.link != null;
  }

  private static void closeAndScheduleReconnect(LinkState state, ClockReading now) {
    state.link.close();
    state.link = null;
    scheduleReconnect(state, now);
  }

  private static void scheduleReconnect(LinkState state, ClockReading now) {
    state.reconnectAt = now.plus(state.backoff);
    Duration doubled = state.backoff.multipliedBy(2);
    state.backoff = doubled.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : doubled;
  }

  /**
   * Extends the echo deadline of a link and resets its back-off, since the peer receives on it.
   *
   * @param address the address of the peer
   * @param now the current time
   */
  void recordEcho(String address, ClockReading now) {
    LinkState state = links.get(address);
    if (state != null) {
      state.echoDeadline = now.plus(ECHO_TIMEOUT);
      state.backoff = INITIAL_BACKOFF;
    }
  }

  /**
   * Offers a frame to the link to an address.
   *
   * @param address the address of the peer
   * @param frame the payload of the frame
   * @return whether the link is open and its queue accepted the frame
   */
  boolean offer(String address, byte[] frame) {
    LinkState state = links.get(address);
    return state != null && state.link != null && state.link.offer(frame);
  }

  private void closeUnwanted(Set<String> wanted) {
    Iterator<Map.Entry<String, LinkState>> iterator = links.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<String, LinkState> next = iterator.next();
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
