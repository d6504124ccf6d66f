package org.bergamotcross.entry.framing;

/** The length of a character in UTF-8, as Pekko's parser takes it from the first byte. */
public final class Utf8Sequence {
  private static final int FIRST_OF_TWO = 0xc0;
  private static final int FIRST_OF_THREE = 0xe0;
  private static final int FIRST_OF_FOUR = 0xf0;

  private Utf8Sequence() {}

  /**
   * Returns how many bytes a character has. The parser does not check the bytes behind the first
   * one, so they may include the end of the line.
   *
   * @param first the first byte, from 0 to 255
   * @return the number of bytes, 1 to 4
   */
  public static int length(int first) {
    if (first >= FIRST_OF_FOUR) {
      return 4;
    }
    if (first >= FIRST_OF_THREE) {
      return 3;
    }
    return first >= FIRST_OF_TWO ? 2 : 1;
  }
}
