package org.bergamotcross.core.routing;

/** What the evidence of all observers says about one target. */
sealed interface Verdict {

  /** Nothing is known to be wrong. */
  record Fine() implements Verdict {}

  /** The target has a fault, whoever sends the request. */
  record Fleet(HealthDecision.Evidence evidence) implements Verdict {}

  /** The path from here to the target has a fault. */
  record Path(HealthDecision.Evidence evidence) implements Verdict {}

  /** Only the path from other instances to the target has a fault. */
  record Elsewhere() implements Verdict {}

  /** Most of the pool looks the same, so the fault is not this target's. */
  record Everywhere() implements Verdict {}
}
