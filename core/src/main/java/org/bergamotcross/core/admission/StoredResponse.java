package org.bergamotcross.core.admission;

import java.util.Arrays;

/**
 * The complete response to a non-idempotent request, stored for repeats with the same idempotency
 * key.
 *
 * @param status the HTTP status
 * @param contentType the content type; empty if there is none
 * @param body the body, at most {@link #MAX_BODY_BYTES}
 */
// The array is never modified after construction.
@SuppressWarnings("ArrayRecordComponent")
public record StoredResponse(int status, String contentType, byte[] body) {
  /**
   * Larger responses are not stored: 10 minutes of responses must fit into the memory of a holder.
   */
  public static final int MAX_BODY_BYTES = 8 * 1024;

  @Override
  public boolean equals(Object other) {
    return other instanceof StoredResponse that
        && status == that.status
        && contentType.equals(that.contentType)
        && Arrays.equals(body, that.body);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * status + contentType.hashCode()) + Arrays.hashCode(body);
  }
}
