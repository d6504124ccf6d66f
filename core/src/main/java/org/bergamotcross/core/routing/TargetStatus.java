package org.bergamotcross.core.routing;

/** Whether a target gets work, as the health duty sees it. */
public sealed interface TargetStatus {

  /**
   * The target gets work.
   *
   * @param weight the share of its normal work, above 0 and at most 1; below 1 while it ramps up
   */
  record Available(double weight) implements TargetStatus {}

  /** The target may get one idempotent request, which decides whether it is readmitted. */
  record Trial() implements TargetStatus {}

  /**
   * The target gets no new work.
   *
   * @param reason why
   */
  record Unavailable(Reason reason) implements TargetStatus {}

  /** Why a target gets no new work. */
  enum Reason {
    /** Evidence of a fault from more than one failure domain, or uncontradicted. */
    EJECTED,
    /** Evidence of a fault on the path from the own failure domain only. */
    PATH_FAULT,
    /** The target is leaving. */
    DRAINING
  }
}
