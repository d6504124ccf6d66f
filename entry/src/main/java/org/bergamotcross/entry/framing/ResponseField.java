package org.bergamotcross.entry.framing;

import java.util.Locale;
import java.util.regex.Pattern;

/**
 * A line with a name and a value, in the head of a response or behind its last chunk.
 *
 * @param name the name, in lower case
 * @param value the value, in lower case and without blanks around it
 */
record ResponseField(String name, String value) {
  private static final Pattern STATUS_LINE_START = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}");
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

  /**
   * Parses a line.
   *
   * @param received the line up to its line feed, with one character for each byte
   * @return the field
   * @throws InvalidResponseException if the line is no field
   */
  static ResponseField parse(String received) throws InvalidResponseException {
    String line = checkLine(received);
    // The start of a late copy of an earlier response, cut within a field, continues with the
    // status line of the awaited one.
    if (STATUS_LINE_START.matcher(line).find()) {
      throw new InvalidResponseException("expected one response, found two in one field");
    }
    int colon = line.indexOf(':');
    // A line that starts with a blank would continue the field before it, and hide its own name.
    if (colon <= 0 || !line.chars().limit(colon).allMatch(ResponseField::isToken)) {
      throw new InvalidResponseException("expected a field with a name and a colon");
    }
    return new ResponseField(
        line.substring(0, colon).toLowerCase(Locale.ROOT),
        line.substring(colon + 1).strip().toLowerCase(Locale.ROOT));
  }

  /**
   * Checks the bytes of a line.
   *
   * @param received the line up to its line feed, with one character for each byte
   * @return the line without its end
   * @throws InvalidResponseException if Pekko would read it differently, or it has control bytes
   */
  static String checkLine(String received) throws InvalidResponseException {
    if (endsWithinCharacter(received)) {
      throw new InvalidResponseException("a line ends within a UTF-8 character");
    }
    String line = received.endsWith("\r") ? received.substring(0, received.length() - 1) : received;
    if (line.chars().anyMatch(ResponseField::isControl)) {
      throw new InvalidResponseException("a line has a control byte");
    }
    return line;
  }

  /**
   * Tells whether a character of several bytes begins near the end of the line and is incomplete.
   * Pekko would complete it with the line feed and read the next line as a part of the value.
   */
  private static boolean endsWithinCharacter(String line) {
    int end = line.length();
    for (int position = Math.max(0, end - 3); position < end; position++) {
      if (position + Utf8Sequence.length(line.charAt(position)) > end) {
        return true;
      }
    }
    return false;
  }

  private static boolean isControl(int character) {
    return (character < ' ' && character != '\t') || character == 0x7f;
  }

  private static boolean isToken(int character) {
    return (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9')
        || TOKEN_SYMBOLS.indexOf(character) >= 0;
  }
}
