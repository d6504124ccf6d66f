package org.bergamotcross.core.admission;

import java.util.Arrays;
import java.util.Optional;

/** How far the attempt that claimed an idempotency key has come, as a holder knows it. */
public enum ClaimState {
  /** The attempt may have been sent; its end is not known. */
  GRANTED("granted"),
  /** A target has run the request. */
  RUN("run"),
  /** The attempt ended and a target may have run it, or two attempts claim the key. */
  UNKNOWN("unknown"),
  /** The attempt was not run and never will be; another attempt may claim the key. */
  RELEASED("released");

  private final String text;

  ClaimState(String text) {
    this.text = text;
  }

  /**
   * Returns the name on the wire.
   *
   * @return the name
   */
  public String text() {
    return text;
  }

  /**
   * Finds a state by its name on the wire.
   *
   * @param text the name
   * @return the state, or nothing when the name is unknown
   */
  public static Optional<ClaimState> of(String text) {
    return Arrays.stream(values()).filter(state -> state.text.equals(text)).findFirst();
  }
}
