package org.bergamotcross.standin;

import java.time.Duration;
import java.util.Optional;

/** What can be changed while a target stand-in runs. */
sealed interface TargetChange {

  /** Switches a fault on; it ends by itself when a length is given. */
  record SetFault(TargetFault fault, Optional<Duration> duration) implements TargetChange {}

  record SetDraining(boolean draining) implements TargetChange {}

  record SetWorkTime(Duration workTime) implements TargetChange {}

  record SetSlots(int slots) implements TargetChange {}

  /** Makes work slower by a factor for a while. */
  record StartColdPhase(Duration duration, double factor) implements TargetChange {}

  /** Fixes what {@code /health} says; nothing for the default, which is that it passes. */
  record OverrideHealth(Optional<Boolean> passes) implements TargetChange {}

  /** Fixes the number of running requests that {@code /load} says; nothing for the truth. */
  record OverrideLoad(Optional<Long> running) implements TargetChange {}
}
