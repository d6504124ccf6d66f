package org.bergamotcross.core.routing;

import java.time.Duration;
import org.bergamotcross.core.admission.Refusal;

/** The action that follows an attempt that has ended. */
public sealed interface RetryDecision {

  /**
   * The request is sent again.
   *
   * @param delay the time until the next target is chosen
   */
  record Retry(Duration delay) implements RetryDecision {}

  /**
   * The request is refused.
   *
   * @param refusal the reason that the caller gets
   */
  record GiveUp(Refusal refusal) implements RetryDecision {}

  /** The caller gets the response of the target. */
  record Deliver() implements RetryDecision {}

  /** The caller has disconnected, so there is nothing to do. */
  record Drop() implements RetryDecision {}
}
