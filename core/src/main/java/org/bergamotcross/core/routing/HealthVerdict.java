package org.bergamotcross.core.routing;

/** What the evidence of all observers says about one target. */
sealed interface HealthVerdict {

  /** Nothing is known to be wrong. */
  record NoFault() implements HealthVerdict {}

  /** The target has a fault, whoever sends the request. */
  record TargetFault(HealthDecision.Evidence evidence) implements HealthVerdict {}

  /** The path from here to the target has a fault. */
  record PathFault(HealthDecision.Evidence evidence) implements HealthVerdict {}

  /** Only the path from other instances to the target has a fault. */
  record RemotePathFault() implements HealthVerdict {}

  /** Most of the pool looks the same, so the fault is not this target's. */
  record PoolWideSlowdown() implements HealthVerdict {}
}
