package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** An HTTP/1.1 message as read from a socket; header names in lower case. */
record Message(String startLine, Map<String, String> headers, byte[] body) {

  String header(String name) {
    return headers.getOrDefault(name, "");
  }

  /** The id of the consumer's attempt. */
  String id() {
    return header(Wire.ATTEMPT_ID.toLowerCase());
  }

  /** The seal of the backend that made a response. */
  String seal() {
    return header(Wire.SEAL.toLowerCase());
  }

  /** The status of a response. */
  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  /** The path of a request. */
  String path() {
    return startLine.split(" ")[1];
  }

  /** Reads a message; null if the channel ended before its first byte. */
  static Message read(InputStream in, boolean response) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); line == null || !line.isEmpty(); line = line(in)) {
      if (line == null) {
        throw new EOFException("the channel ended in a head");
      }
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      for (int size = Integer.parseInt(line(in), 16);
          size > 0;
          size = Integer.parseInt(line(in), 16)) {
        body.write(exactly(in, size));
        line(in);
      }
      line(in);
    } else if (headers.containsKey("content-length")) {
      body.write(exactly(in, Integer.parseInt(headers.get("content-length"))));
    } else if (response) {
      in.transferTo(body);
    }
    return new Message(start, headers, body.toByteArray());
  }

  private static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the channel ended after " + bytes.length + " of " + length);
    }
    return bytes;
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
    if (next < 0) {
      throw new EOFException("the channel ended in a line");
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
