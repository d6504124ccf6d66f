package org.bergamotcross.standin;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * HTTP headers that a target reads and sends.
 *
 * <p>The default methods implement the protocol of Bergamotcross itself; stand-ins for the targets
 * of another platform override them.
 */
public interface TargetProtocol {
  /** The protocol of Bergamotcross itself. */
  TargetProtocol DEFAULT = new TargetProtocol() {};

  /**
   * Returns the name of the header that carries the request id.
   *
   * @return the header name
   */
  default String requestIdHeader() {
    return "X-Request-Id";
  }

  /**
   * Returns the name of the header that carries the caller's organisation.
   *
   * @return the header name
   */
  default String organisationHeader() {
    return "X-Organisation";
  }

  /**
   * Parses the deadline of a request.
   *
   * @param headers the headers of the request by name in lower case
   * @param wallMillis the current time in Unix milliseconds
   * @return the deadline in Unix milliseconds, or empty if the request has none
   */
  default Optional<Long> parseDeadlineMillis(Map<String, List<String>> headers, long wallMillis) {
    return parseWholeNumber(headers, "x-request-deadline");
  }

  /**
   * Checks whether a request is addressed to this target.
   *
   * @param headers the headers of the request by name in lower case
   * @return false if the request names another target
   */
  default boolean isAddressedToThisTarget(Map<String, List<String>> headers) {
    return true;
  }

  /**
   * Returns the headers of a response to a request that was executed.
   *
   * @param requestId the id of the request
   * @return the values by header name
   */
  default Map<String, String> responseHeaders(String requestId) {
    return Map.of();
  }

  /**
   * Returns the headers that mark a response as sent without executing the request.
   *
   * @return the values by header name
   */
  default Map<String, String> notRunHeaders() {
    return Map.of("X-Not-Run", "true");
  }

  /**
   * Returns the headers that mark the responses of a draining target.
   *
   * @return the values by header name
   */
  default Map<String, String> drainingHeaders() {
    return Map.of("X-Draining", "true");
  }

  /**
   * Parses a header as a whole number.
   *
   * @param headers the headers by name in lower case
   * @param name the header name in lower case
   * @return the first value that is a whole number, or empty if there is none
   */
  static Optional<Long> parseWholeNumber(Map<String, List<String>> headers, String name) {
    return headers.getOrDefault(name, List.of()).stream()
        .filter(text -> text.matches("\\d{1,18}"))
        .map(Long::parseLong)
        .findFirst();
  }
}
