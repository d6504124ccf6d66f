package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A consumer's channel to an entry instance. */
final class Consumer implements AutoCloseable {
  private final Socket socket = new Socket();
  final InputStream in;
  final OutputStream out;

  Consumer(int port) throws IOException {
    this(port, 0);
  }

  Consumer(int port, int receiveBuffer) throws IOException {
    if (receiveBuffer > 0) {
      socket.setReceiveBufferSize(receiveBuffer);
    }
    socket.connect(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2_000);
    socket.setTcpNoDelay(true);
    in = receiveBuffer > 0 ? socket.getInputStream() : new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  void timeout(int millis) throws IOException {
    socket.setSoTimeout(millis);
  }

  /** Sends a request without waiting for the answer. */
  void send(String method, String path, String id, int deadlineMs, String more, byte[] body)
      throws IOException {
    String length = body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "";
    byte[] head =
        ("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Bergamotcross-Attempt-Id: %s\r\n"
                + "X-Bergamotcross-Deadline-Ms: %d\r\nAuthorization: Bearer key-of-tenant-a\r\n%s%s\r\n")
            .formatted(method, path, id, deadlineMs, more, length)
            .getBytes(StandardCharsets.US_ASCII);
    byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    out.write(all);
    out.flush();
  }

  Message answer() throws IOException {
    return Message.read(in, true);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
