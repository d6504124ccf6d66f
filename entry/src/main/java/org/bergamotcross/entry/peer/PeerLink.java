package org.bergamotcross.entry.peer;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import org.bergamotcross.kernel.ClockReading;

/**
 * Sends this instance's frames to one peer over an outgoing TCP connection; thread-safe.
 *
 * <p>The peer answers on its own connection, so a partition in one direction affects exactly one of
 * the two connections. A frame is written by the thread that offers it. The thread of {@link
 * PeerNetwork} writes only what the socket could not take at once.
 */
final class PeerLink implements PeerEndpoint, AutoCloseable {
  // Bounds the backlog for a paused peer; further frames are rejected.
  static final int MAX_QUEUED_FRAMES = 1024;

  private final SocketChannel channel;
  private final Selector selector;
  private final Runnable onClosed;
  private final ClockReading connectDeadline;
  private final Deque<ByteBuffer> queue = new ArrayDeque<>();
  private boolean connected;
  private boolean closed;

  /**
   * Creates a link whose connection is being opened.
   *
   * @param channel a socket in non-blocking mode
   * @param selector the selector with which the socket is registered
   * @param connectDeadline when a connection that is still not established is given up
   * @param onClosed run once when the connection has ended
   */
  PeerLink(
      SocketChannel channel, Selector selector, ClockReading connectDeadline, Runnable onClosed) {
    this.channel = channel;
    this.selector = selector;
    this.connectDeadline = connectDeadline;
    this.onClosed = onClosed;
  }

  /**
   * Sends a frame, or enqueues it, without blocking; frames offered before the connection is
   * established are queued.
   *
   * @param payload the payload of the frame
   * @return whether the queue had room and the connection was not closed
   */
  boolean offer(byte[] payload) {
    try {
      synchronized (this) {
        if (closed || queue.size() >= MAX_QUEUED_FRAMES) {
          return false;
        }
        queue.add(
            ByteBuffer.allocate(Integer.BYTES + payload.length)
                .putInt(payload.length)
                .put(payload)
                .flip());
        if (connected && queue.size() == 1 && !writeQueued()) {
          channel.keyFor(selector).interestOpsOr(SelectionKey.OP_WRITE);
          selector.wakeup();
        }
      }
      return true;
    } catch (IOException e) {
      close();
      return false;
    }
  }

  /**
   * Handles that the socket is ready.
   *
   * @param key the selection key of the socket
   * @param scratch receives bytes, which are discarded, because peers send nothing here
   * @throws IOException if the connection has failed or the peer has closed it
   */
  void onReady(SelectionKey key, ByteBuffer scratch) throws IOException {
    synchronized (this) {
      if (closed) {
        return;
      }
      if (!connected) {
        connected = channel.finishConnect();
      }
      if (connected) {
        boolean isQueueEmpty = writeQueued();
        key.interestOps(SelectionKey.OP_READ | (isQueueEmpty ? 0 : SelectionKey.OP_WRITE));
      }
    }
    if (key.isReadable() && channel.read(scratch.clear()) < 0) {
      close();
    }
  }

  /**
   * Tells whether the connection is still being opened after its deadline.
   *
   * @param now the current time
   * @return whether it is to be given up
   */
  synchronized boolean hasConnectTimedOut(ClockReading now) {
    return !connected && !closed && !now.isBefore(connectDeadline);
  }

  /** Tells whether the connection is still being opened. */
  synchronized boolean isConnecting() {
    return !connected && !closed;
  }

  /** Writes queued frames until the socket takes no more; returns whether the queue is empty. */
  private boolean writeQueued() throws IOException {
    while (!queue.isEmpty()) {
      channel.write(queue.getFirst());
      if (queue.getFirst().hasRemaining()) {
        return false;
      }
      queue.removeFirst();
    }
    return true;
  }

  @Override
  public void close() {
    synchronized (this) {
      if (closed) {
        return;
      }
      closed = true;
      queue.clear();
    }
    try {
      // Discards unsent frames, which would reach the peer late after a network partition.
      channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      channel.close();
    } catch (IOException e) {
      // The connection has ended already.
    }
    selector.wakeup();
    onClosed.run();
  }
}
