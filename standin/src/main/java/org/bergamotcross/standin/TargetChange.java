package org.bergamotcross.standin;

import java.time.Duration;
import java.util.Optional;

/** Changes to a running target stand-in. */
sealed interface TargetChange {

  /** Injects a fault, which is removed after the duration if one is given. */
  record SetFault(TargetFault fault, Optional<Duration> duration) implements TargetChange {}

  record SetDraining(boolean draining) implements TargetChange {}

  record SetWorkTime(Duration workTime) implements TargetChange {}

  record SetSlots(int slots) implements TargetChange {}

  /** Multiplies the work time by a factor for a limited time. */
  record StartColdPhase(Duration duration, double factor) implements TargetChange {}

  /** Overrides the result of {@code /health}; empty restores the default, which is to pass. */
  record OverrideHealth(Optional<Boolean> passes) implements TargetChange {}

  /** Overrides the running requests that {@code /load} reports; empty reports the actual number. */
  record OverrideLoad(Optional<Long> running) implements TargetChange {}
}
