package org.bergamotcross.entry.framing;

import java.io.IOException;

/** Ends a connection whose bytes are no response in the protocol. */
public final class InvalidResponseException extends IOException {
  private static final long serialVersionUID = 1L;

  InvalidResponseException(String message) {
    super(message);
  }
}
