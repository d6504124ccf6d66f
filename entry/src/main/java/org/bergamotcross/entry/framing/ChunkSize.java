package org.bergamotcross.entry.framing;

import java.util.Optional;

/** Parses the line with the size of a chunk. */
public final class ChunkSize {
  private static final int MAX_DIGITS = 15;
  private static final int HEX = 16;

  private ChunkSize() {}

  /**
   * Parses a size line.
   *
   * @param line the line, with or without its carriage return; an extension behind a semicolon and
   *     blanks around the digits are ignored
   * @return the size in bytes, or empty if there is no number of 1 to 15 hexadecimal digits
   */
  public static Optional<Long> parse(String line) {
    int extension = line.indexOf(';');
    String digits = (extension < 0 ? line : line.substring(0, extension)).strip();
    boolean valid =
        !digits.isEmpty()
            && digits.length() <= MAX_DIGITS
            && digits.chars().allMatch(digit -> Character.digit(digit, HEX) >= 0);
    return valid ? Optional.of(Long.parseLong(digits, HEX)) : Optional.empty();
  }
}
