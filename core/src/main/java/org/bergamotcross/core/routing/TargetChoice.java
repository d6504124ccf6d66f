package org.bergamotcross.core.routing;

import org.bergamotcross.core.config.Target;
import org.bergamotcross.kernel.ClockReading;

/** The result of choosing a target for one attempt. */
public sealed interface TargetChoice {

  /** Why a target was chosen. */
  enum Reason {
    /** It has fewer known requests in flight than another one. */
    FEWEST_IN_FLIGHT("fewest-in-flight-of-two"),
    /** The attempt is a trial request that decides on the readmission of the target. */
    TRIAL("trial"),
    /** No instance has used the target for a while. */
    UNUSED("unused");

    private final String text;

    Reason(String text) {
      this.text = text;
    }

    /**
     * Returns the text for the event log.
     *
     * @return the reason in lower case with hyphens
     */
    public String text() {
      return text;
    }
  }

  /**
   * The attempt goes to a target.
   *
   * @param target the target
   * @param reason why it was chosen
   * @param inFlight the known requests in flight at the target before this one
   */
  record Chosen(Target target, Reason reason, int inFlight) implements TargetChoice {

    /**
     * Returns whether the attempt decides on the readmission of the target.
     *
     * @return whether it is a trial request
     */
    public boolean trial() {
      return reason == Reason.TRIAL;
    }
  }

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
