package org.bergamotcross.standin;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One piece of work that a target has started; refused and stalled requests leave none.
 *
 * @param requestId the value of {@code X-Request-Id}, empty when there is none
 * @param idempotencyKey the value of {@code Idempotency-Key}
 * @param organisation the value of {@code X-Organisation}, empty when there is none
 * @param attempt the value of {@code X-Attempt}, empty when there is none
 * @param method the HTTP method
 * @param path the path without the query
 * @param headers all headers received, by name in lower case, with their values
 * @param bodyBytes the length of the body
 * @param startedAtMillis when the work started, in Unix milliseconds
 * @param state how far the work has come
 */
public record Execution(
    String requestId,
    Optional<String> idempotencyKey,
    String organisation,
    String attempt,
    String method,
    String path,
    Map<String, List<String>> headers,
    long bodyBytes,
    long startedAtMillis,
    State state) {

  /** Copies the map. */
  public Execution {
    headers = Map.copyOf(headers);
  }

  /** How far the work has come. */
  public enum State {
    /** The work has started. */
    RUNNING,
    /** The work is done, whether its answer was sent or not. */
    COMPLETED,
    /** The connection was closed before the work was done, and the work stopped. */
    CANCELLED
  }

  Execution withStartTime(long wallMillis) {
    return new Execution(
        requestId,
        idempotencyKey,
        organisation,
        attempt,
        method,
        path,
        headers,
        bodyBytes,
        wallMillis,
        state);
  }

  Execution withState(State newState) {
    return new Execution(
        requestId,
        idempotencyKey,
        organisation,
        attempt,
        method,
        path,
        headers,
        bodyBytes,
        startedAtMillis,
        newState);
  }
}
