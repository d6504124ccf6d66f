package org.bergamotcross.bench;

/** The effect of an injected fault on a single attempt. */
sealed interface AttemptEffect {

  /** Multiplies the service time; a factor of 1 is normal operation. */
  record Slowdown(double factor) implements AttemptEffect {}

  /** Makes the target respond with status 503 after the normal service time. */
  record ServerError() implements AttemptEffect {}

  /** Holds the attempt in its slot without a response until the fault ends. */
  record Stall() implements AttemptEffect {}

  /** Drops the attempt or its response, so that the instance never receives one. */
  record MessageLoss() implements AttemptEffect {}
}
