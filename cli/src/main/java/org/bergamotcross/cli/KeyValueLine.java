package org.bergamotcross.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Parses and quotes lines of key=value pairs, the format of the event log. */
final class KeyValueLine {
  private final String text;
  private int position;

  private KeyValueLine(String text) {
    this.text = text;
  }

  /**
   * Parses a line.
   *
   * @return the pairs in their order, or empty if the line has another format
   */
  static Optional<Map<String, String>> parse(String line) {
    return new KeyValueLine(line.strip()).parsePairs();
  }

  /** Quotes a value if it is empty or has white space, quotes, backslashes or equal signs. */
  static String quote(String value) {
    boolean plain =
        !value.isEmpty()
            && value.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c != '\\');
    return plain
        ? value
        : '"'
            + value
                .replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r")
            + '"';
  }

  private Optional<Map<String, String>> parsePairs() {
    Map<String, String> pairs = new LinkedHashMap<>();
    while (position < text.length()) {
      int equals = text.indexOf('=', position);
      if (equals <= position || text.substring(position, equals).contains(" ")) {
        return Optional.empty();
      }
      String key = text.substring(position, equals);
      position = equals + 1;
      pairs.put(key, isAt('"') ? parseQuotedValue() : parsePlainValue());
      position++;
    }
    return pairs.isEmpty() ? Optional.empty() : Optional.of(pairs);
  }

  private boolean isAt(char c) {
    return position < text.length() && text.charAt(position) == c;
  }

  private String parsePlainValue() {
    int blank = text.indexOf(' ', position);
    int end = blank < 0 ? text.length() : blank;
    String value = text.substring(position, end);
    position = end;
    return value;
  }

  private String parseQuotedValue() {
    StringBuilder value = new StringBuilder();
    position++;
    while (position < text.length() && !isAt('"')) {
      char c = text.charAt(position);
      if (c == '\\' && position + 1 < text.length()) {
        position++;
        c =
            switch (text.charAt(position)) {
              case 'n' -> '\n';
              case 'r' -> '\r';
              default -> text.charAt(position);
            };
      }
      value.append(c);
      position++;
    }
    position++;
    return value.toString();
  }
}
