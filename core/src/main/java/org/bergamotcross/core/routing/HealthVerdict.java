package org.bergamotcross.core.routing;

/** The conclusion about one target from the evidence of all observers. */
sealed interface HealthVerdict {

  /** There is no evidence of a fault. */
  record NoFault() implements HealthVerdict {}

  /** The target is faulty for all instances. */
  record TargetFault(HealthDecision.Evidence evidence) implements HealthVerdict {}

  /** The path from this instance to the target is faulty. */
  record PathFault(HealthDecision.Evidence evidence) implements HealthVerdict {}

  /** Only paths from other instances to the target are faulty. */
  record RemotePathFault() implements HealthVerdict {}

  /** Most of the pool is slow, so the slowness is not attributed to this target. */
  record PoolWideSlowdown() implements HealthVerdict {}
}
