package org.bergamotcross.standin;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One request whose work a target has started; rejected and stalled requests have no execution.
 *
 * @param requestId the value of {@code X-Request-Id}, empty when the header is missing
 * @param idempotencyKey the value of {@code Idempotency-Key}
 * @param organisation the value of {@code X-Organisation}, empty when the header is missing
 * @param attempt the value of {@code X-Attempt}, empty when the header is missing
 * @param method the HTTP method
 * @param path the path without the query
 * @param headers the values of all received headers by name in lower case
 * @param bodyBytes the length of the request body in bytes
 * @param startedAtMillis when the work started, in Unix milliseconds
 * @param state the progress of the work
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

  /** Makes a defensive copy of the headers. */
  public Execution {
    headers = Map.copyOf(headers);
  }

  /** The progress of an execution. */
  public enum State {
    /** The work has started. */
    RUNNING,
    /** The work is done, whether or not its response was sent. */
    COMPLETED,
    /** The work was stopped because the connection closed before it was done. */
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
