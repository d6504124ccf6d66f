package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A backend: serves one request at a time on a channel, as the case says. */
final class Backend implements AutoCloseable {
  /** Answers a request; returns false to close the channel. */
  interface Work {
    boolean answer(Message request, OutputStream out, Socket channel) throws Exception;
  }

  private static final long BORN = System.currentTimeMillis() - 60_000;

  final String id;
  private final ServerSocket listener;
  private final Work work;
  private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  Backend(String id, Work work) throws IOException {
    this.id = id;
    this.work = work;
    this.listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Writes the backend's entry into the store, as a heartbeat does. */
  void register(Store store, String service, int slots, long sequence) {
    store.write(
        Wire.name("topic.backends"),
        id,
        Wire.name("entry.backend").formatted(port(), BORN, service, slots, sequence));
  }

  /** The bytes of a complete response. */
  static byte[] response(Message request, String status, String seal, byte[] body, String extra) {
    byte[] head =
        ("HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\n%sContent-Type: text/plain\r\n"
                + "Content-Length: %d\r\n\r\n")
            .formatted(
                status,
                Wire.ATTEMPT_ID,
                request.id(),
                Wire.SEAL,
                seal,
                extra,
                body.length)
            .getBytes(StandardCharsets.US_ASCII);
    byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    return all;
  }

  /** Writes a success whose body has no length and comes in chunks. */
  static void writeChunked(OutputStream out, Message request, byte[] body, int chunkBytes)
      throws IOException {
    out.write(
        ("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Type: text/plain\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n")
            .formatted(Wire.ATTEMPT_ID, request.id(), Wire.SEAL)
            .getBytes(StandardCharsets.US_ASCII));
    for (int from = 0; from < body.length; from += chunkBytes) {
      int length = Math.min(chunkBytes, body.length - from);
      out.write((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      out.write(body, from, length);
      out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
  }

  private void accept() {
    while (!closed) {
      try {
        Socket channel = listener.accept();
        channels.add(channel);
        Thread.ofVirtual().start(() -> serve(channel));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket channel) {
    try (channel) {
      channel.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(channel.getInputStream());
      OutputStream out = channel.getOutputStream();
      for (Message request = Message.read(in, false);
          request != null && work.answer(request, out, channel);
          request = Message.read(in, false)) {}
    } catch (Exception e) {
      // The channel has ended.
    } finally {
      channels.remove(channel);
    }
  }

  @Override
  public void close() {
    closed = true;
    try {
      listener.close();
      for (Socket channel : channels) {
        channel.close();
      }
    } catch (IOException e) {
      // The stand-in ends anyway.
    }
  }
}
