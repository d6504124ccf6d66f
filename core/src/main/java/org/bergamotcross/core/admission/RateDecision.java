package org.bergamotcross.core.admission;

/** The decision of a {@link RateLimiter} on one request. */
public sealed interface RateDecision {

  /**
   * The request may run.
   *
   * @param origin the source of its token
   */
  record Admitted(TokenOrigin origin) implements RateDecision {}

  /** The request waits for a token; a later {@link RateLimiterOutput} completes the wait. */
  record Queued() implements RateDecision {}

  /**
   * The request must not run.
   *
   * @param refusal the reason
   */
  record Refused(Refusal refusal) implements RateDecision {}
}
