package org.bergamotcross.core.routing;

import java.time.Duration;
import org.bergamotcross.core.config.TargetId;

/** A change of the state of a target, with its reason for the log line. */
public sealed interface HealthDecision {

  /**
   * Returns the target.
   *
   * @return the target that changed
   */
  TargetId target();

  /**
   * The evidence behind a decision.
   *
   * @param kind what is wrong
   * @param observers the number of instances that saw it
   * @param failureDomains the number of failure domains in which they run
   * @param age the time since the latest request that shows the fault was sent
   * @param failures the recent failures of all observers
   * @param outcomes the recent outcomes of all observers
   * @param stallThreshold the present stall threshold of the pool
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
   * The target gets no more work from any instance that has the evidence.
   *
   * @param target the target
   * @param evidence why
   * @param remaining the targets that stay in use with full weight
   * @param nextTrialIn the time until the first trial
   */
  record Ejected(TargetId target, Evidence evidence, int remaining, Duration nextTrialIn)
      implements HealthDecision {}

  /**
   * The target gets no more work because of the path to it from here.
   *
   * @param target the target
   * @param evidence why
   * @param remaining the targets that stay in use with full weight
   */
  record PathFault(TargetId target, Evidence evidence, int remaining) implements HealthDecision {}

  /**
   * The target stays in use because of the floor.
   *
   * @param target the target
   * @param evidence why it would have been ejected
   * @param remaining the targets that would have stayed in use with full weight
   * @param floor the smallest number of them
   */
  record EjectionRefused(TargetId target, Evidence evidence, int remaining, int floor)
      implements HealthDecision {}

  /**
   * A request decides whether the target is readmitted.
   *
   * @param target the target
   * @param backoffLevel the number of ejections and failed trials before
   */
  record TrialStarted(TargetId target, int backoffLevel) implements HealthDecision {}

  /**
   * A trial did not succeed.
   *
   * @param target the target
   * @param nextTrialIn the time until the next trial
   */
  record TrialFailed(TargetId target, Duration nextTrialIn) implements HealthDecision {}

  /**
   * The target gets work again.
   *
   * @param target the target
   * @param cause why
   * @param initialWeight its share at first
   */
  record Readmitted(TargetId target, Cause cause, double initialWeight) implements HealthDecision {}

  /**
   * The target is leaving and gets no new work.
   *
   * @param target the target
   */
  record DrainingStarted(TargetId target) implements HealthDecision {}

  /** Why a target is in use again. */
  enum Cause {
    /** The trial of this instance succeeded. */
    TRIAL("trial-succeeded"),
    /** The trial of a peer succeeded. */
    PEER_TRIAL("peer-trial-succeeded"),
    /** Nobody used the trial for a long time, so only normal work can show its state. */
    TRIAL_UNUSED("trial-unused"),
    /** Instances elsewhere have no trouble with it. */
    CONTRADICTED("contradicted"),
    /** The whole pool is slow, so the fault is not this target's. */
    SLOW_EVERYWHERE("slow-everywhere"),
    /** It did work again right after its first ejection. */
    RECOVERED("recovered"),
    /** Too few targets were left. */
    FLOOR("floor");

    private final String text;

    Cause(String text) {
      this.text = text;
    }

    /**
     * Returns the word in log lines.
     *
     * @return the text
     */
    public String text() {
      return text;
    }
  }
}
