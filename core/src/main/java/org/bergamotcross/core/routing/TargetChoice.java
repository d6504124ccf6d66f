package org.bergamotcross.core.routing;

import org.bergamotcross.core.config.Target;

/** The result of choosing a target for one attempt. */
public sealed interface TargetChoice {

  /**
   * The attempt goes to a target.
   *
   * @param target the target
   * @param trial whether the attempt decides on the readmission of the target
   * @param inFlight the requests in flight at the target that were known before this one
   */
  record Chosen(Target target, boolean trial, int inFlight) implements TargetChoice {}

  /** All targets in use are busy or shed load, so the request waits. */
  record AllBusy() implements TargetChoice {}

  /** No target of the pool may be used. */
  record NoneAvailable() implements TargetChoice {}
}
