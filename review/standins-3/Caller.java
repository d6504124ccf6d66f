import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A caller's connection. */
final class Caller implements AutoCloseable {
  private static final AtomicLong IDS = new AtomicLong();

  final Socket socket = new Socket();
  private final BufferedInputStream in;
  private final Record record;

  Caller(int port, Record record) throws IOException {
    this.record = record;
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Whether requests say that this connection ends after the answer. */
  boolean lastRequest;

  /** A further header of the requests, empty for none. */
  String extraHeader = "";

  static String newId() {
    return "%016x".formatted(IDS.incrementAndGet());
  }

  void send(
      String method, String host, String path, String id, String key, long budgetMs, byte[] body)
      throws IOException {
    String head =
        method
            + " "
            + path
            + " HTTP/1.1\r\nHost: "
            + host
            + "\r\n"
            + Wire.ATTEMPT
            + ": "
            + id
            + "\r\n"
            + Wire.TIME_LEFT
            + ": "
            + budgetMs
            + (key.isEmpty() ? "" : "\r\nAuthorization: Bearer " + key)
            + (extraHeader.isEmpty() ? "" : "\r\n" + extraHeader)
            + (lastRequest ? "\r\nConnection: close" : "")
            + (body.length > 0 ? "\r\nContent-Length: " + body.length : "")
            + "\r\n\r\n";
    record.note("sent request=" + id + " " + method + " " + path + " bytes=" + body.length);
    OutputStream out = socket.getOutputStream();
    out.write(head.getBytes(StandardCharsets.US_ASCII));
    out.write(body);
    out.flush();
  }

  /** Waits for an answer; null if the connection ended without one. */
  Http.Message receive(String id, long waitMs) {
    try {
      socket.setSoTimeout((int) waitMs);
      Http.Message answer = Http.read(in, true);
      record.note(
          "received request="
              + id
              + " "
              + (answer == null
                  ? "end of connection"
                  : answer.startLine()
                      + " seal="
                      + answer.header(Wire.SEAL)
                      + " bytes="
                      + answer.body().length
                      + " complete="
                      + answer.complete()));
      return answer;
    } catch (SocketTimeoutException e) {
      record.note("received request=" + id + " nothing within " + waitMs + " ms");
      return null;
    } catch (IOException e) {
      record.note("received request=" + id + " " + e);
      return null;
    }
  }

  /** Gives up the request by closing the connection. */
  void leave() {
    close();
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Already closed.
    }
  }
}
