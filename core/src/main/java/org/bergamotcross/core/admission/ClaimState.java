package org.bergamotcross.core.admission;

import java.util.Arrays;
import java.util.Optional;

/** State of the attempt that claimed an idempotency key, as known to a holder. */
public enum ClaimState {
  /** The claim is granted: the attempt may have been sent, and its outcome is not known yet. */
  GRANTED("granted"),
  /** A target has run the request. */
  RUN("run"),
  /** The attempt ended and a target may have run it, or two attempts hold the key. */
  UNKNOWN("unknown"),
  /** The attempt was not run and never will be; another attempt may claim the key. */
  RELEASED("released");

  private final String wireName;

  ClaimState(String wireName) {
    this.wireName = wireName;
  }

  /**
   * Returns the name on the wire.
   *
   * @return the wire name
   */
  public String wireName() {
    return wireName;
  }

  /**
   * Looks up a state by its name on the wire.
   *
   * @param wireName the name
   * @return the state; empty if the name is unknown
   */
  public static Optional<ClaimState> fromWireName(String wireName) {
    return Arrays.stream(values()).filter(state -> state.wireName.equals(wireName)).findFirst();
  }
}
