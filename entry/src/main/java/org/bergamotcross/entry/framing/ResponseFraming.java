package org.bergamotcross.entry.framing;

/** What follows a response head. */
sealed interface ResponseFraming {
  /** Another head, because this one belongs to an interim response. */
  record Interim() implements ResponseFraming {}

  /**
   * A body with a length, 0 if there is none.
   *
   * @param bytes the length
   */
  record Length(long bytes) implements ResponseFraming {}

  /** A body in chunks. */
  record Chunked() implements ResponseFraming {}

  /** A body that ends with the connection. */
  record UntilClose() implements ResponseFraming {}
}
