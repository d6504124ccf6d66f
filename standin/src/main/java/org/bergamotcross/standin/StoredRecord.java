package org.bergamotcross.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * A record of a stream, with what a test wants to know of its append.
 *
 * @param offset the offset
 * @param data the bytes; not to be changed
 * @param client who appended it, as named in {@code X-Instance}
 * @param appendedAtMillis when it was appended, in Unix milliseconds
 */
// The array is never changed after the append.
@SuppressWarnings("ArrayRecordComponent")
public record StoredRecord(
    long offset, byte[] data, Optional<String> client, long appendedAtMillis) {

  /**
   * Returns the bytes as text.
   *
   * @return the data, read as UTF-8
   */
  public String text() {
    return new String(data, StandardCharsets.UTF_8);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof StoredRecord that
        && offset == that.offset
        && Arrays.equals(data, that.data)
        && client.equals(that.client)
        && appendedAtMillis == that.appendedAtMillis;
  }

  @Override
  public int hashCode() {
    return 31 * Long.hashCode(offset) + Arrays.hashCode(data);
  }
}
