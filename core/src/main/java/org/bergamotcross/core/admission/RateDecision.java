package org.bergamotcross.core.admission;

/** What the rate of an organisation means for one request. */
public sealed interface RateDecision {

  /**
   * The request may run.
   *
   * @param origin where its token came from
   */
  record Admitted(TokenOrigin origin) implements RateDecision {}

  /** The request waits for a token; a later {@link RateStep} ends it. */
  record Waiting() implements RateDecision {}

  /**
   * The request must not run.
   *
   * @param refusal why
   */
  record Refused(Refusal refusal) implements RateDecision {}
}
