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
   * @param line the line without its end; an extension behind a semicolon is ignored
   * @return the size in bytes, or empty if the line does not start with hexadecimal digits or they
   *     exceed a long
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
