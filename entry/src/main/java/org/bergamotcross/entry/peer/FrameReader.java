package org.bergamotcross.entry.peer;

import java.io.ByteArrayOutputStream;
import java.net.ProtocolException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Splits the bytes of one incoming connection into frames. */
final class FrameReader {
  /** The maximum frame size; configuration snapshots are the largest messages. */
  static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  // A peer may announce a large frame and never send it, so the memory grows with what it sends.
  private static final int INITIAL_PAYLOAD_BYTES = 1_024;

  private final ByteBuffer header = ByteBuffer.allocate(Integer.BYTES);
  private final ByteArrayOutputStream payload = new ByteArrayOutputStream(INITIAL_PAYLOAD_BYTES);

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
    byte[] part = new byte[Math.min(length - payload.size(), bytes.remaining())];
    bytes.get(part);
    if (part.length == length) {
      header.clear();
      receiver.accept(part);
      return;
    }
    payload.writeBytes(part);
    if (payload.size() == length) {
      byte[] frame = payload.toByteArray();
      payload.reset();
      header.clear();
      receiver.accept(frame);
    }
  }
}
