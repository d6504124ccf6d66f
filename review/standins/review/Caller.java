package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;

/** A consumer: sends one request after another on a connection that it keeps open. */
final class Caller implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /**
   * What the consumer saw.
   *
   * @param id the id of the consumer attempt
   * @param answer the complete answer, or empty when the connection ended without one
   * @param problem why there was no complete answer
   */
  record Outcome(String id, Optional<HttpMessage> answer, String problem) {
    int status() {
      return answer.map(HttpMessage::status).orElse(0);
    }

    @Override
    public String toString() {
      return answer
          .map(a -> a.startLine() + a.header(Wire.REFUSAL).map(r -> " " + r).orElse(""))
          .orElse("no answer: " + problem);
    }
  }

  private final int port;
  private Optional<Socket> socket = Optional.empty();
  private InputStream in = InputStream.nullInputStream();

  Caller(int port) {
    this.port = port;
  }

  static String newId() {
    return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
  }

  Outcome send(String method, String path, String key, int budgetMs, int bodyBytes) {
    String id = newId();
    return send(id, method, path, key, budgetMs, bodyBytes);
  }

  Outcome send(String id, String method, String path, String key, int budgetMs, int bodyBytes) {
    try {
      connect();
      Socket open = socket.orElseThrow();
      open.setSoTimeout(budgetMs + 1_000);
      String head =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: shop.example\r\n"
              + Wire.ATTEMPT_ID
              + ": "
              + id
              + "\r\n"
              + Wire.DEADLINE
              + ": "
              + budgetMs
              + "\r\nAuthorization: Bearer "
              + key
              + "\r\n"
              + (method.equals("POST") ? "Content-Length: " + bodyBytes + "\r\n" : "")
              + "\r\n";
      open.getOutputStream()
          .write((head + "x".repeat(bodyBytes)).getBytes(StandardCharsets.ISO_8859_1));
      HttpMessage answer = HttpMessage.read(in);
      if (answer.header("Connection").filter(c -> c.equalsIgnoreCase("close")).isPresent()) {
        close();
      }
      return new Outcome(id, Optional.of(answer), "");
    } catch (SocketTimeoutException e) {
      close();
      return new Outcome(id, Optional.empty(), "the time budget and 1 s are over");
    } catch (IOException e) {
      close();
      return new Outcome(id, Optional.empty(), e.toString());
    }
  }

  private void connect() throws IOException {
    if (socket.isEmpty()) {
      Socket opened = new Socket();
      opened.setTcpNoDelay(true);
      opened.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MS);
      socket = Optional.of(opened);
      in = new BufferedInputStream(opened.getInputStream());
    }
  }

  @Override
  public void close() {
    try {
      if (socket.isPresent()) {
        socket.get().close();
      }
    } catch (IOException e) {
      // The connection is gone in any case.
    }
    socket = Optional.empty();
  }
}
