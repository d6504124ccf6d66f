package review2;

import java.nio.charset.StandardCharsets;

/** A consumer that uses a channel twice and reads the second answer at its own pace. */
final class SlowConsumer {
  /** How the second request ended. */
  record End(int bytes, boolean complete, boolean reset, long sentAtNanos, long atNanos) {
    long lastedMs() {
      return (atNanos - sentAtNanos) / 1_000_000L;
    }

    String how() {
      return complete ? "complete" : reset ? "channel reset" : "channel closed";
    }
  }

  /** What a consumer waits for between its two requests. */
  interface Between {
    void await() throws Exception;
  }

  /** How a consumer reads: the segment size and receive buffer of its channel, and its pace. */
  record Pace(int segmentBytes, int receiveBufferBytes, int readBytes, int bytesPerSecond) {
    /** A link with ordinary segments and a consumer that reads at the given pace. */
    static Pace slow(int bytesPerSecond) {
      return new Pace(1_460, 4_096, 1_460, bytesPerSecond);
    }

    /** A consumer that reads as soon as bytes arrive. */
    static Pace fast() {
      return new Pace(0, 1 << 20, 64 << 10, Integer.MAX_VALUE);
    }
  }

  private static final int DEADLINE_MS = 20_000;

  private SlowConsumer() {}

  private static String request(String path, String id) {
    return Wire.requestHead("GET", path, id, DEADLINE_MS) + "\r\n";
  }

  /**
   * Sends a request for a small answer, then one for a large answer.
   *
   * @param bodyBytes the length of the large answer's body
   * @param pace how it is read
   * @param between runs between the two requests
   */
  static End read(int port, String id, int bodyBytes, Pace pace, Between between)
      throws Throwable {
    try (NarrowChannel channel =
        new NarrowChannel(port, pace.segmentBytes(), pace.receiveBufferBytes())) {
      channel.send(request("/read/small", id + "-first"));
      StringBuilder first = new StringBuilder();
      while (!first.toString().endsWith("\r\n\r\nsmall")) {
        byte[] bytes = channel.read(1_460);
        if (bytes == null || bytes.length == 0) {
          throw new IllegalStateException("no answer to the first request");
        }
        first.append(new String(bytes, StandardCharsets.ISO_8859_1));
      }
      between.await();
      long sentAt = System.nanoTime();
      channel.send(request("/read/large/" + bodyBytes, id));
      return readLarge(channel, bodyBytes, pace, sentAt);
    }
  }

  private static End readLarge(
      NarrowChannel channel, int bodyBytes, Pace pace, long sentAt)
      throws Throwable {
    long start = System.nanoTime();
    StringBuilder tail = new StringBuilder();
    int total = 0;
    while (true) {
      byte[] bytes = channel.read(pace.readBytes());
      long now = System.nanoTime();
      if (bytes == null || bytes.length == 0) {
        return new End(total, false, bytes == null, sentAt, now);
      }
      total += bytes.length;
      tail.append(new String(bytes, StandardCharsets.ISO_8859_1));
      tail.delete(0, Math.max(0, tail.length() - 16));
      // The body ends with a mark, behind which a chunked answer has its last chunk.
      if (tail.indexOf("END!") >= 0 && total >= bodyBytes) {
        return new End(total, true, false, sentAt, now);
      }
      long due = start + total * 1_000_000_000L / pace.bytesPerSecond();
      if (due > now) {
        Thread.sleep((due - now) / 1_000_000L, (int) ((due - now) % 1_000_000L));
      }
    }
  }

  /** The body of a large answer. */
  static byte[] body(int length) {
    byte[] body = new byte[length];
    java.util.Arrays.fill(body, (byte) 'x');
    System.arraycopy("END!".getBytes(StandardCharsets.US_ASCII), 0, body, length - 4, 4);
    return body;
  }
}
