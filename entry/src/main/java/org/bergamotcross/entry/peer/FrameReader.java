package org.bergamotcross.entry.peer;

import java.net.ProtocolException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/** Splits the bytes of one incoming connection into frames. */
final class FrameReader {
  /** The maximum frame size; configuration snapshots are the largest messages. */
  static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  private final ByteBuffer header = ByteBuffer.allocate(Integer.BYTES);
  private byte[] payload = new byte[0];
  private int receivedBytes;

  /**
   * Reads the available bytes.
   *
   * @param bytes the received bytes, all of which are consumed
   * @param receiver receives the payload of each complete frame
   * @throws ProtocolException if a frame has a length that no peer sends
   */
  void read(ByteBuffer bytes, Consumer<byte[]> receiver) throws ProtocolException {
    while (bytes.hasRemaining()) {
      while (header.hasRemaining() && bytes.hasRemaining()) {
        header.put(bytes.get());
      }
      if (!header.hasRemaining()) {
        readPayload(bytes, receiver);
      }
    }
  }

  private void readPayload(ByteBuffer bytes, Consumer<byte[]> receiver) throws ProtocolException {
    int length = header.getInt(0);
    if (length < 0 || length > MAX_FRAME_BYTES) {
      throw new ProtocolException(
          "expected a frame of at most " + MAX_FRAME_BYTES + " bytes, found length " + length);
    }
    int count = Math.min(length - receivedBytes, bytes.remaining());
    ensureCapacity(receivedBytes + count, length);
    bytes.get(payload, receivedBytes, count);
    receivedBytes += count;
    if (receivedBytes == length) {
      byte[] frame = payload;
      payload = new byte[0];
      receivedBytes = 0;
      header.clear();
      receiver.accept(frame);
    }
  }

  /**
   * Enlarges the payload with what the peer has sent, because a peer may announce a large frame and
   * never send it. The last enlargement reaches the exact length, so that no copy is needed.
   */
  private void ensureCapacity(int bytes, int length) {
    if (bytes > payload.length) {
      payload = Arrays.copyOf(payload, Math.min(length, Math.max(bytes, 2 * payload.length)));
    }
  }
}
