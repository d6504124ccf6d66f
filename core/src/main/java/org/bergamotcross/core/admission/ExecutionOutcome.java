package org.bergamotcross.core.admission;

/** What is known about whether a target has run a request. */
public enum ExecutionOutcome {
  /** No target has run the request or ever will. */
  NOT_RUN("not-run"),
  /** A target has run the request. */
  RUN("run"),
  /** A target may have run the request. */
  UNKNOWN("unknown");

  private final String label;

  ExecutionOutcome(String label) {
    this.label = label;
  }

  /**
   * Returns the value as written to the outcome header and to log events.
   *
   * @return the label
   */
  public String label() {
    return label;
  }
}
