package org.bergamotcross.core.routing;

import java.time.Duration;
import org.bergamotcross.core.admission.Refusal;

/** What happens after an attempt has ended. */
public sealed interface RetryDecision {

  /**
   * The request is sent again.
   *
   * @param delay the time to wait before the next choice of a target
   */
  record Retry(Duration delay) implements RetryDecision {}

  /**
   * The request is refused.
   *
   * @param refusal what the caller is told
   */
  record GiveUp(Refusal refusal) implements RetryDecision {}

  /** The caller gets the response of the target. */
  record Deliver() implements RetryDecision {}

  /** The caller is gone, so nothing is left to do. */
  record Drop() implements RetryDecision {}
}
