package org.bergamotcross.standin;

import java.time.Duration;

/**
 * Faults that can be injected into a target; none of them changes the result of {@code /health}.
 */
public sealed interface TargetFault {

  /** No fault: the target works normally. */
  record None() implements TargetFault {}

  /**
   * Work neither starts nor completes while the fault is active; requests are accepted without
   * limit.
   *
   * <p>Requests received meanwhile start when the fault ends, unless their connection has closed or
   * their deadline has passed. The usual checks for a free slot apply then.
   */
  record Stall() implements TargetFault {}

  /**
   * Work takes longer and occupies its slot for that time.
   *
   * @param extraWorkTime the time added to the work time
   */
  record SlowWork(Duration extraWorkTime) implements TargetFault {}

  /** Work completes and the response has status 500. */
  record ErrorResponse() implements TargetFault {}

  /** Work completes and the connection breaks in the middle of the response body. */
  record TruncatedBody() implements TargetFault {}

  /**
   * Work completes and releases its slot in time, but the response is delayed.
   *
   * @param delay the time between the end of the work and the response
   */
  record DelayedResponse(Duration delay) implements TargetFault {}

  /** Work completes but the response is never sent. */
  record LostResponse() implements TargetFault {}

  /** Open connections are closed and new ones are refused. */
  record ConnectionRefused() implements TargetFault {}
}
