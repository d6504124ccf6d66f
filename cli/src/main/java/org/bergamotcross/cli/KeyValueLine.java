package org.bergamotcross.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Reads and writes lines of key=value pairs, the format of the event log. */
final class KeyValueLine {
  private final String text;
  private int position;

  private KeyValueLine(String text) {
    this.text = text;
  }

  /**
   * Reads a line.
   *
   * @return the pairs in their order; nothing when the text is no such line
   */
  static Optional<Map<String, String>> read(String line) {
    return new KeyValueLine(line.strip()).pairs();
  }

  /** Quotes a value when it has blanks, quotes, backslashes or equal signs, or is empty. */
  static String quoted(String value) {
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

  private Optional<Map<String, String>> pairs() {
    Map<String, String> pairs = new LinkedHashMap<>();
    while (position < text.length()) {
      int equals = text.indexOf('=', position);
      if (equals <= position || text.substring(position, equals).contains(" ")) {
        return Optional.empty();
      }
      String key = text.substring(position, equals);
      position = equals + 1;
      pairs.put(key, isAt('"') ? quotedValue() : plainValue());
      position++;
    }
    return pairs.isEmpty() ? Optional.empty() : Optional.of(pairs);
  }

  private boolean isAt(char c) {
    return position < text.length() && text.charAt(position) == c;
  }

  private String plainValue() {
    int blank = text.indexOf(' ', position);
    int end = blank < 0 ? text.length() : blank;
    String value = text.substring(position, end);
    position = end;
    return value;
  }

  private String quotedValue() {
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
