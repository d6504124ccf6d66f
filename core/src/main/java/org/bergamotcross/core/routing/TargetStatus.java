package org.bergamotcross.core.routing;

/** The availability of a target for new work, as published by the health duty. */
public sealed interface TargetStatus {

  /**
   * The target gets work.
   *
   * @param weight the share of its normal load, above 0 and at most 1; below 1 while it ramps up
   */
  record Available(double weight) implements TargetStatus {}

  /** The target may get one idempotent trial request, which decides on its readmission. */
  record Trial() implements TargetStatus {}

  /**
   * The target gets no new work.
   *
   * @param reason why it gets none
   */
  record Unavailable(Reason reason) implements TargetStatus {}

  /** Why a target gets no new work. */
  enum Reason {
    /**
     * Evidence of a fault from more than one failure domain, or from one that no other contradicts.
     */
    EJECTED,
    /** Evidence of a fault only on the path from the failure domain of this instance. */
    PATH_FAULT,
    /** The target is draining. */
    DRAINING
  }
}
