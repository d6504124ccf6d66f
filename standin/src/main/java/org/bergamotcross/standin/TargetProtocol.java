package org.bergamotcross.standin;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The headers that a target understands and sends.
 *
 * <p>The methods have the names of the product's own protocol; a stand-in for the targets of
 * another platform overrides them.
 */
public interface TargetProtocol {
  /** The product's own protocol. */
  TargetProtocol DEFAULT = new TargetProtocol() {};

  /**
   * Returns the header with the id of a request.
   *
   * @return the name
   */
  default String requestIdHeader() {
    return "X-Request-Id";
  }

  /**
   * Returns the header with the organisation of the caller.
   *
   * @return the name
   */
  default String organisationHeader() {
    return "X-Organisation";
  }

  /**
   * Reads until when a request may run.
   *
   * @param headers the headers of the request by name in lower case
   * @param wallMillis the time of day, in Unix milliseconds
   * @return the deadline in Unix milliseconds, or nothing when the request names none
   */
  default Optional<Long> parseDeadlineMillis(Map<String, List<String>> headers, long wallMillis) {
    return parseWholeNumber(headers, "x-request-deadline");
  }

  /**
   * Tells whether a request is meant for this target.
   *
   * @param headers the headers of the request by name in lower case
   * @return whether it names no other target
   */
  default boolean isAddressedToThisTarget(Map<String, List<String>> headers) {
    return true;
  }

  /**
   * Returns the headers of an answer to work that has run.
   *
   * @param requestId the id of the request
   * @return the values by name
   */
  default Map<String, String> responseHeaders(String requestId) {
    return Map.of();
  }

  /**
   * Returns the headers by which an answer says that the work has not run.
   *
   * @return the values by name
   */
  default Map<String, String> notRunHeaders() {
    return Map.of("X-Not-Run", "true");
  }

  /**
   * Returns the headers by which an answer says that the target drains.
   *
   * @return the values by name
   */
  default Map<String, String> drainingHeaders() {
    return Map.of("X-Draining", "true");
  }

  /**
   * Reads a header that holds a whole number.
   *
   * @param headers the headers by name in lower case
   * @param name the name in lower case
   * @return the number, or nothing when there is none
   */
  static Optional<Long> parseWholeNumber(Map<String, List<String>> headers, String name) {
    return headers.getOrDefault(name, List.of()).stream()
        .filter(text -> text.matches("\\d{1,18}"))
        .map(Long::parseLong)
        .findFirst();
  }
}
