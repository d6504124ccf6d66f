package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * One HTTP/1.1 message, read from a socket.
 *
 * @param startLine the request line or the status line
 * @param headers the header lines, as they arrived
 * @param body the body without its framing
 */
record HttpMessage(String startLine, List<String> headers, byte[] body) {
  private static final int MAX_LINE_BYTES = 65_536;

  static HttpMessage read(InputStream in) throws IOException {
    String start = readLine(in);
    List<String> headers = new ArrayList<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      headers.add(line);
    }
    HttpMessage head = new HttpMessage(start, headers, new byte[0]);
    return new HttpMessage(start, headers, head.readBody(in));
  }

  Optional<String> header(String name) {
    String prefix = name.toLowerCase(Locale.ROOT) + ":";
    return headers.stream()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(prefix))
        .map(line -> line.substring(prefix.length()).strip())
        .findFirst();
  }

  String method() {
    return startLine.split(" ", 3)[0];
  }

  String target() {
    return startLine.split(" ", 3)[1];
  }

  int status() {
    return Integer.parseInt(startLine.split(" ", 3)[1]);
  }

  private byte[] readBody(InputStream in) throws IOException {
    if (header("Transfer-Encoding").filter(v -> v.equalsIgnoreCase("chunked")).isPresent()) {
      return readChunks(in);
    }
    Optional<Integer> length = header("Content-Length").map(Integer::parseInt);
    if (length.isPresent()) {
      byte[] body = in.readNBytes(length.get());
      if (body.length < length.get()) {
        throw new EOFException("the body is cut");
      }
      return body;
    }
    return startLine.startsWith("HTTP/") ? in.readAllBytes() : new byte[0];
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      int size = Integer.parseInt(readLine(in).split(";", 2)[0].strip(), 16);
      if (size == 0) {
        while (!readLine(in).isEmpty()) {
          // Skips the trailer.
        }
        return body.toByteArray();
      }
      byte[] chunk = in.readNBytes(size);
      if (chunk.length < size) {
        throw new EOFException("a chunk is cut");
      }
      body.writeBytes(chunk);
      readLine(in);
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended");
      }
      if (line.size() > MAX_LINE_BYTES) {
        throw new IOException("a line is too long");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
