package org.bergamotcross.entry.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/** How a request head says where the body ends. */
sealed interface RequestFraming {
  /**
   * A body with a length, 0 if there is none.
   *
   * @param bytes the length
   */
  record Length(long bytes) implements RequestFraming {}

  /** A body in chunks. */
  record Chunked() implements RequestFraming {}

  /**
   * A head that two parsers could read in different ways. What follows it is not passed on, so that
   * no caller can hide a request in the body of another one.
   */
  record Uncertain() implements RequestFraming {}

  /** Digits that fit into a long. */
  Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

  /**
   * Reads the headers that delimit the body.
   *
   * @param head the request line and the headers
   * @return the framing
   */
  static RequestFraming of(String head) {
    List<String> encodings = new ArrayList<>();
    List<String> lengths = new ArrayList<>();
    for (String line : head.strip().split("\r?\n", -1)) {
      int colon = line.indexOf(':');
      boolean foldedOrBroken =
          line.startsWith(" ") || line.startsWith("\t") || line.indexOf('\r') >= 0;
      if (foldedOrBroken) {
        return new Uncertain();
      }
      String name = colon < 0 ? "" : line.substring(0, colon).toLowerCase(Locale.ROOT);
      switch (name.strip()) {
        case "transfer-encoding" -> encodings.add(value(line, colon, name));
        case "content-length" -> lengths.add(value(line, colon, name));
        default -> {}
      }
    }
    if (encodings.isEmpty() && lengths.isEmpty()) {
      return new Length(0);
    }
    if (lengths.isEmpty() && encodings.equals(List.of("chunked"))) {
      return new Chunked();
    }
    boolean plainLength =
        encodings.isEmpty() && lengths.size() == 1 && LENGTH.matcher(lengths.getFirst()).matches();
    return plainLength ? new Length(Long.parseLong(lengths.getFirst())) : new Uncertain();
  }

  /** Returns the value in lower case; empty, and so invalid, if a space precedes the colon. */
  private static String value(String line, int colon, String name) {
    return name.equals(name.strip())
        ? line.substring(colon + 1).strip().toLowerCase(Locale.ROOT)
        : "";
  }
}
