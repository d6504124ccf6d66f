package org.bergamotcross.core.routing;

import org.bergamotcross.kernel.Now;

/** The states of a target as one instance sees it. */
sealed interface TargetState {

  /** Available with full weight. */
  record Healthy(Now since) implements TargetState {}

  /** Available with a growing weight, after a readmission or because the target is new. */
  record Ramping(Now since) implements TargetState {}

  /** Gets no work until a trial request succeeds. */
  record Ejected(TargetStatus.Reason reason, FaultKind kind, Now ejectedAt, Now nextTrialAt)
      implements TargetState {}

  /** Gets no further work while a trial request is in flight. */
  record OnTrial(Ejected ejection, String attempt, Now startedAt) implements TargetState {}

  /** Gets no new work because the target is draining. */
  record Draining() implements TargetState {}
}
