package org.bergamotcross.entry.http;

import java.util.Arrays;

/**
 * The ids of the requests that a connection has carried, so that it carries none of them twice.
 *
 * <p>A target may send a copy of an earlier response. Responses are matched by the request id, so a
 * copy could be taken for the response to a later request, or a later attempt, with the same id on
 * the same connection. Not thread-safe.
 */
final class CarriedRequests {
  /** Bounds the memory of a connection to 1 KiB; a full connection is replaced. */
  static final int CAPACITY = 256;

  private static final int INITIAL_CAPACITY = 4;

  // Two ids with the same hash code only cause the use of another connection.
  private int[] hashCodes = new int[INITIAL_CAPACITY];
  private int size;

  /**
   * Records a request.
   *
   * @param requestId the id of the request
   * @throws IllegalStateException if {@link #CAPACITY} requests are recorded already
   */
  void add(String requestId) {
    if (isFull()) {
      throw new IllegalStateException(
          "the connection has carried " + size + " requests; open another one");
    }
    if (size == hashCodes.length) {
      hashCodes = Arrays.copyOf(hashCodes, Math.min(2 * size, CAPACITY));
    }
    hashCodes[size] = requestId.hashCode();
    size++;
  }

  /**
   * Tells whether a request with this id may have been recorded.
   *
   * @param requestId the id of the request
   * @return false only if no request with this id was recorded
   */
  boolean mayContain(String requestId) {
    int hashCode = requestId.hashCode();
    for (int i = 0; i < size; i++) {
      if (hashCodes[i] == hashCode) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the number of recorded requests.
   *
   * @return the number
   */
  int size() {
    return size;
  }

  /**
   * Tells whether no further request can be recorded.
   *
   * @return whether {@link #CAPACITY} is reached
   */
  boolean isFull() {
    return size == CAPACITY;
  }
}
