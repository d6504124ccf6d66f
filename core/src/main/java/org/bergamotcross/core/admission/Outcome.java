package org.bergamotcross.core.admission;

/** What is known about the execution of a request that was refused. */
public enum Outcome {
  /** No target has run the request or ever will. */
  NOT_RUN("not-run"),
  /** A target has run the request. */
  RUN("run"),
  /** A target may have run the request. */
  UNKNOWN("unknown");

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /**
   * Returns the value of the outcome header.
   *
   * @return the text
   */
  public String text() {
    return text;
  }
}
