package org.bergamotcross.entry.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.Channel;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.EventLog;
import org.bergamotcross.kernel.TimeSource;

/**
 * Carries the frames of all peer connections; its thread waits in one selector.
 *
 * <p>With a full mesh, an instance has two connections to each peer. Streams for each of them took
 * about as much processor time as the exchange duty itself.
 */
final class PeerNetwork implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration CONNECT_CHECK_INTERVAL = Duration.ofMillis(250);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

  // A failure such as a lack of file descriptors persists, so that the next try fails at once.
  private static final Duration FAILURE_DELAY = Duration.ofSeconds(1);

  // All peers connect to an instance that starts.
  private static final int BACKLOG = 1024;
  private static final int READ_BUFFER_BYTES = 64 * 1024;

  private final Selector selector;
  private final SelectionKey listenerKey;
  private final Consumer<byte[]> receiver;
  private final TimeSource time;
  private final EventLog events;
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
  private final Set<PeerLink> connecting = ConcurrentHashMap.newKeySet();
  private final Thread thread;
  private Optional<ClockReading> acceptAgainAt = Optional.empty();
  private volatile boolean stopping;

  private PeerNetwork(
      Selector selector,
      SelectionKey listenerKey,
      Consumer<byte[]> receiver,
      TimeSource time,
      EventLog events) {
    this.selector = selector;
    this.listenerKey = listenerKey;
    this.receiver = receiver;
    this.time = time;
    this.events = events;
    this.thread = new Thread(this::run, "peer-network");
    this.thread.setDaemon(true);
  }

  /**
   * Starts to accept the connections of peers.
   *
   * @param address the address to listen at
   * @param receiver receives the payload of each frame, on the thread of the network; must not
   *     block
   * @param time the clock for connection timeouts
   * @param events the log for failures
   * @return the network
   * @throws IOException if the address can't be bound
   */
  static PeerNetwork listen(
      InetSocketAddress address, Consumer<byte[]> receiver, TimeSource time, EventLog events)
      throws IOException {
    Selector selector = Selector.open();
    ServerSocketChannel listener = ServerSocketChannel.open();
    try {
      listener.bind(address, BACKLOG);
      listener.configureBlocking(false);
      SelectionKey key =
          listener.register(selector, SelectionKey.OP_ACCEPT, new PeerEndpoint.Listener(listener));
      PeerNetwork network = new PeerNetwork(selector, key, receiver, time, events);
      network.thread.start();
      return network;
    } catch (IOException e) {
      listener.close();
      selector.close();
      throw e;
    }
  }

  /**
   * Opens a connection to a peer without blocking.
   *
   * @param address the address of the peer
   * @param onClosed run once when the connection has ended, on the closing thread or on that of the
   *     network
   * @return the link; empty if the process can't open another socket
   */
  Optional<PeerLink> connect(InetSocketAddress address, Runnable onClosed) {
    SocketChannel channel;
    try {
      channel = SocketChannel.open();
    } catch (IOException e) {
      reportFailure(e);
      return Optional.empty();
    }
    PeerLink link = new PeerLink(channel, selector, time.now().plus(CONNECT_TIMEOUT), onClosed);
    try {
      channel.configureBlocking(false);
      // Nagle's algorithm would hold a frame back until the peer acknowledges the one before.
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      boolean isEstablished = channel.connect(address);
      connecting.add(link);
      channel.register(
          selector, isEstablished ? SelectionKey.OP_WRITE : SelectionKey.OP_CONNECT, link);
      selector.wakeup();
    } catch (IOException e) {
      link.close();
    }
    return Optional.of(link);
  }

  private void run() {
    while (!stopping) {
      try {
        ClockReading now = time.now();
        closeUnconnected(now);
        resumeAccepting(now);
        selector.select(this::handleReady, selectTimeoutMillis());
      } catch (ClosedSelectorException e) {
        return;
      } catch (IOException e) {
        reportFailure(e);
        pause();
      }
    }
  }

  /** Returns how long the thread may wait, 0 for as long as no socket is ready. */
  private long selectTimeoutMillis() {
    return connecting.isEmpty() && acceptAgainAt.isEmpty() ? 0 : CONNECT_CHECK_INTERVAL.toMillis();
  }

  private void closeUnconnected(ClockReading now) {
    for (PeerLink link : connecting) {
      if (link.hasConnectTimedOut(now)) {
        link.close();
      }
    }
    connecting.removeIf(link -> !link.isConnecting());
  }

  private void handleReady(SelectionKey key) {
    PeerEndpoint endpoint = (PeerEndpoint) key.attachment();
    try {
      switch (endpoint) {
        case PeerEndpoint.Listener listener -> accept(listener.channel());
        case PeerEndpoint.Incoming incoming -> receive(incoming);
        case PeerLink link -> link.onReady(key, buffer);
      }
    } catch (CancelledKeyException | ClosedChannelException e) {
      close(endpoint);
    } catch (IOException | RuntimeException e) {
      if (endpoint instanceof PeerEndpoint.Listener) {
        reportFailure(e);
        listenerKey.interestOps(0);
        acceptAgainAt = Optional.of(time.now().plus(FAILURE_DELAY));
      } else {
        close(endpoint);
      }
    }
  }

  private void accept(ServerSocketChannel listener) throws IOException {
    SocketChannel channel = listener.accept();
    if (channel == null) {
      return;
    }
    channel.configureBlocking(false);
    channel.register(
        selector, SelectionKey.OP_READ, new PeerEndpoint.Incoming(channel, new FrameReader()));
  }

  private void receive(PeerEndpoint.Incoming incoming) throws IOException {
    if (incoming.channel().read(buffer.clear()) < 0) {
      close(incoming);
      return;
    }
    incoming.frames().read(buffer.flip(), receiver);
  }

  private void resumeAccepting(ClockReading now) {
    if (acceptAgainAt.filter(at -> !now.isBefore(at)).isPresent()) {
      acceptAgainAt = Optional.empty();
      listenerKey.interestOps(SelectionKey.OP_ACCEPT);
    }
  }

  private void reportFailure(Exception e) {
    events.event("peer.network-failed").with("error", e).emit();
  }

  private static void pause() {
    try {
      Thread.sleep(FAILURE_DELAY.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void close(PeerEndpoint endpoint) {
    switch (endpoint) {
      case PeerLink link -> link.close();
      case PeerEndpoint.Incoming incoming -> closeQuietly(incoming.channel());
      case PeerEndpoint.Listener listener -> closeQuietly(listener.channel());
    }
  }

  private static void closeQuietly(Channel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // The connection has ended already.
    }
  }

  /** Closes all connections and stops listening. */
  @Override
  public void close() {
    stopping = true;
    selector.wakeup();
    try {
      thread.join(STOP_TIMEOUT);
      for (SelectionKey key : List.copyOf(selector.keys())) {
        close((PeerEndpoint) key.attachment());
      }
      selector.close();
    } catch (IOException e) {
      reportFailure(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
