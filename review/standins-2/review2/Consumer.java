package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A consumer's channel to an entry instance. */
final class Consumer implements AutoCloseable {
  private final Socket socket = new Socket();
  final InputStream in;
  final OutputStream out;

  Consumer(int port) throws IOException {
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2_000);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  void timeout(int millis) throws IOException {
    socket.setSoTimeout(millis);
  }

  /** Sends a request without waiting for the answer. */
  void send(String method, String path, String id, int deadlineMs, byte[] body)
      throws IOException {
    String length =
        body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "";
    byte[] head =
        (Wire.requestHead(method, path, id, deadlineMs) + length + "\r\n")
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
