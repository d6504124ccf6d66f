package org.bergamotcross.core.admission;

import java.util.Arrays;

/**
 * The whole answer to a non-idempotent request, kept for repeats under the same idempotency key.
 *
 * @param status the HTTP status
 * @param contentType the content type, empty when there is none
 * @param body the body, at most {@link #MAX_BODY_BYTES}
 */
// The array is never changed after the answer is built.
@SuppressWarnings("ArrayRecordComponent")
public record StoredAnswer(int status, String contentType, byte[] body) {
  /** Larger answers are not kept: 10 minutes of answers must fit into the memory of a holder. */
  public static final int MAX_BODY_BYTES = 8 * 1024;

  @Override
  public boolean equals(Object other) {
    return other instanceof StoredAnswer that
        && status == that.status
        && contentType.equals(that.contentType)
        && Arrays.equals(body, that.body);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * status + contentType.hashCode()) + Arrays.hashCode(body);
  }
}
