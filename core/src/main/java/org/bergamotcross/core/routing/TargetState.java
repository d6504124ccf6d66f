package org.bergamotcross.core.routing;

import org.bergamotcross.kernel.ClockReading;

/** The states of a target as one instance sees it. */
sealed interface TargetState {

  /** Available with full weight. */
  record Healthy(ClockReading since) implements TargetState {}

  /** Available with a growing weight, after a readmission or because the target is new. */
  record Ramping(ClockReading since) implements TargetState {}

  /** Gets no work until a trial request succeeds. */
  record Ejected(
      TargetStatus.Reason reason, FaultKind kind, ClockReading ejectedAt, ClockReading nextTrialAt)
      implements TargetState {}

  /** Gets no further work while a trial request is in flight. */
  record OnTrial(Ejected ejection, String attempt, ClockReading startedAt) implements TargetState {}

  /** Gets no new work because the target is draining. */
  record Draining() implements TargetState {}
}
