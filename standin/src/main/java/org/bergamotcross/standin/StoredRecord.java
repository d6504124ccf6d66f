package org.bergamotcross.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Record of a stream together with the origin and time of its append.
 *
 * @param offset the offset in the stream
 * @param data the content; must not be modified
 * @param client the name that the appending client sent in {@code X-Instance}
 * @param appendedAtMillis the time of the append in Unix milliseconds
 */
// The array isn't modified after the append.
@SuppressWarnings("ArrayRecordComponent")
public record StoredRecord(
    long offset, byte[] data, Optional<String> client, long appendedAtMillis) {

  /**
   * Decodes the content as UTF-8.
   *
   * @return the text
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
