package org.bergamotcross.entry.framing;

/** Why the bytes that a connection received end its use. */
public sealed interface ResponseFault {
  /** Bytes arrived that belong to no response. */
  record Surplus() implements ResponseFault {}

  /**
   * Bytes arrived that are no valid response.
   *
   * @param detail what was expected
   */
  record Invalid(String detail) implements ResponseFault {}
}
