import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
  /** A message; {@code complete} is false if the connection ended within the body. */
  record Message(String startLine, Map<String, String> headers, byte[] body, boolean complete) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }
  }

  private Http() {}

  /** Returns the next message, or null if the connection ended between two messages. */
  static Message read(InputStream in, boolean bodyUntilClose) throws IOException {
    String startLine = line(in);
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); !"".equals(line); line = line(in)) {
      if (line == null) {
        throw new EOFException("the connection ended within a head");
      }
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete = true;
    try {
      if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
        readChunks(in, body);
      } else if (headers.containsKey("content-length")) {
        readBytes(in, Integer.parseInt(headers.get("content-length")), body);
      } else if (bodyUntilClose) {
        in.transferTo(body);
      }
    } catch (IOException e) {
      complete = false;
    }
    return new Message(startLine, headers, body.toByteArray(), complete);
  }

  private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    int size;
    do {
      String line = line(in);
      if (line == null) {
        throw new EOFException("the connection ended within a chunked body");
      }
      size = Integer.parseInt(line.strip(), 16);
      readBytes(in, size, body);
      line(in);
    } while (size > 0);
  }

  private static void readBytes(InputStream in, int length, ByteArrayOutputStream body)
      throws IOException {
    byte[] bytes = in.readNBytes(length);
    body.writeBytes(bytes);
    if (bytes.length < length) {
      throw new EOFException("the connection ended within a body");
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
