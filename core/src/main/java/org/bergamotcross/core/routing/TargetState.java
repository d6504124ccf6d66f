package org.bergamotcross.core.routing;

import org.bergamotcross.kernel.Now;

/** The states of a target as one instance sees it. */
sealed interface TargetState {

  /** In use with full weight. */
  record Healthy(Now since) implements TargetState {}

  /** In use with a growing weight, after a readmission or because the target is new. */
  record Ramping(Now since) implements TargetState {}

  /** Out of use until a trial succeeds. */
  record Ejected(TargetStatus.Reason reason, FaultKind kind, Now ejectedAt, Now nextTrialAt)
      implements TargetState {}

  /** Out of use while one request decides. */
  record OnTrial(Ejected ejection, String attempt, Now startedAt) implements TargetState {}

  /** Out of use because the target is leaving. */
  record Draining() implements TargetState {}
}
