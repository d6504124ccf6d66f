package org.bergamotcross.standin;

import java.time.Duration;

/** The ways in which a target can fail; none of them changes what {@code /health} says. */
public sealed interface TargetFault {

  /** The target works. */
  record None() implements TargetFault {}

  /**
   * Work neither starts nor ends until the fault is over; requests are accepted without limit.
   *
   * <p>Work that has not started by the end of the fault starts then, unless its connection is
   * closed or its deadline is past.
   */
  record Stall() implements TargetFault {}

  /**
   * Work takes longer and holds its slot for that time.
   *
   * @param extra the time added to the work time
   */
  record SlowWork(Duration extraWorkTime) implements TargetFault {}

  /** Work runs and is then answered with status 500. */
  record ErrorResponse() implements TargetFault {}

  /** Work runs, and the connection breaks in the middle of the body of the response. */
  record TruncatedBody() implements TargetFault {}

  /**
   * Work runs and gives its slot back in time, but the answer comes late.
   *
   * @param delay the time by which the answer is late
   */
  record DelayedResponse(Duration delay) implements TargetFault {}

  /** Work runs and is never answered. */
  record LostResponse() implements TargetFault {}

  /** All connections are closed and new ones are refused. */
  record ConnectionRefused() implements TargetFault {}
}
