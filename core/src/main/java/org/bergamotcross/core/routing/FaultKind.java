package org.bergamotcross.core.routing;

/** What is wrong with a target. */
public enum FaultKind {
  /** Requests at it do not end. */
  STALLED("stalled"),
  /** More of its requests fail than elsewhere in the pool. */
  FAILING("failing"),
  /** It was leaving and has not shown yet that it works again. */
  RETURNING("returning");

  private final String text;

  FaultKind(String text) {
    this.text = text;
  }

  /**
   * Returns the word in log lines.
   *
   * @return the text
   */
  public String text() {
    return text;
  }
}
