package org.bergamotcross.core.routing;

import org.bergamotcross.core.config.Target;
import org.bergamotcross.kernel.ClockReading;

/** The result of choosing a target for one attempt. */
public sealed interface TargetChoice {

  /**
   * The attempt goes to a target.
   *
   * @param target the target
   * @param trial whether the attempt is a trial request that decides on the readmission of the
   *     target
   * @param inFlight the known requests in flight at the target before this one
   */
  record Chosen(Target target, boolean trial, int inFlight) implements TargetChoice {}

  /** All available targets are at their limit or shed load, so the request is queued. */
  record AllBusy() implements TargetChoice {}

  /**
   * All targets that could run the request asked for a pause.
   *
   * @param until when the first pause ends
   */
  record AllPaused(ClockReading until) implements TargetChoice {}

  /** No target of the pool is available. */
  record NoneAvailable() implements TargetChoice {}
}
