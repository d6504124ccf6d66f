package org.bergamotcross.core.routing;

import java.time.Duration;
import org.bergamotcross.core.config.TargetId;

/** A change of the state of a target, with the reason that goes into the event. */
public sealed interface HealthDecision {

  /**
   * Returns the target.
   *
   * @return the target whose state changed
   */
  TargetId target();

  /**
   * The evidence behind a decision.
   *
   * @param kind the kind of fault
   * @param observers the number of instances that observed it
   * @param failureDomains the number of failure domains in which they run
   * @param age the time since the start of the latest request that shows the fault
   * @param failures the number of recent failures of all observers, with exponential decay
   * @param outcomes the number of recent requests of all observers that succeeded or failed, with
   *     the same decay
   * @param stallThreshold the current stall threshold of the pool
   */
  record Evidence(
      FaultKind kind,
      int observers,
      int failureDomains,
      Duration age,
      double failures,
      double outcomes,
      Duration stallThreshold) {}

  /**
   * The target is ejected: every instance that has the evidence stops sending it requests.
   *
   * @param target the target
   * @param evidence the evidence for the decision
   * @param remaining the number of targets that stay available with full weight
   * @param nextTrialIn the time until the first trial request
   */
  record Ejected(TargetId target, Evidence evidence, int remaining, Duration nextTrialIn)
      implements HealthDecision {}

  /**
   * This instance stops sending the target requests because the path to it is faulty.
   *
   * @param target the target
   * @param evidence the evidence for the decision
   * @param remaining the number of targets that stay available with full weight
   */
  record PathFault(TargetId target, Evidence evidence, int remaining) implements HealthDecision {}

  /**
   * The target would have been ejected but stays available because the pool is at its floor.
   *
   * @param target the target
   * @param evidence the evidence for the prevented ejection
   * @param remaining the number of targets that would have stayed available with full weight
   * @param floor the minimum of that number
   */
  record EjectionRefused(TargetId target, Evidence evidence, int remaining, int floor)
      implements HealthDecision {}

  /**
   * A trial request was sent, which decides whether the target is readmitted.
   *
   * @param target the target
   * @param backoffLevel the number of ejections and failed trials since the backoff was last reset
   */
  record TrialStarted(TargetId target, int backoffLevel) implements HealthDecision {}

  /**
   * A trial request did not succeed.
   *
   * @param target the target
   * @param nextTrialIn the time until the next trial request
   */
  record TrialFailed(TargetId target, Duration nextTrialIn) implements HealthDecision {}

  /**
   * The target gets requests again.
   *
   * @param target the target
   * @param cause the cause of the readmission
   * @param initialWeight its share of its normal load at first
   */
  record Readmitted(TargetId target, Cause cause, double initialWeight) implements HealthDecision {}

  /**
   * The target is draining and gets no new requests.
   *
   * @param target the target
   */
  record DrainingStarted(TargetId target) implements HealthDecision {}

  /** The causes of a readmission. */
  enum Cause {
    /** A trial request of this instance succeeded. */
    TRIAL("trial-succeeded"),
    /** A trial request of a peer succeeded. */
    PEER_TRIAL("peer-trial-succeeded"),
    /** No trial request was sent for a long time, so only normal requests can show its state. */
    TRIAL_UNUSED("trial-unused"),
    /** Other instances contradict the fault. */
    CONTRADICTED("contradicted"),
    /** The whole pool is slow, so the fault is not attributed to this target. */
    SLOW_EVERYWHERE("slow-everywhere"),
    /** It worked again right after its first ejection. */
    RECOVERED("recovered"),
    /** The number of available targets fell below the floor of the pool. */
    FLOOR("floor");

    private final String text;

    Cause(String text) {
      this.text = text;
    }

    /**
     * Returns the name that is used in events.
     *
     * @return the name
     */
    public String text() {
      return text;
    }
  }
}
