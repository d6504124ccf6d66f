package org.bergamotcross.core.routing;

/** The kinds of faults for which a target gets no work. */
public enum FaultKind {
  /** Its requests do not complete within the stall threshold. */
  STALLED("stalled"),
  /** Its requests fail more often than those of the rest of the pool. */
  FAILING("failing"),
  /** It has finished draining and has not yet completed a trial request. */
  RETURNING("returning");

  private final String text;

  FaultKind(String text) {
    this.text = text;
  }

  /**
   * Returns the name that is used in events.
   *
   * @return the name
   */
  public String text() {
    return text;
  }
}
