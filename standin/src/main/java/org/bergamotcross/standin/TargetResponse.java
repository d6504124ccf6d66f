package org.bergamotcross.standin;

import java.time.Duration;
import java.util.Optional;

/** Responses of a target stand-in, independent of their encoding in HTTP. */
sealed interface TargetResponse {

  boolean draining();

  record Completed(boolean draining) implements TargetResponse {}

  /** The work was done, but the response reports an error. */
  record Failed(boolean draining) implements TargetResponse {}

  /** The work was done, but the connection breaks in the middle of the response body. */
  record Truncated(boolean draining) implements TargetResponse {}

  /** The request was rejected before any work started. */
  record NotRun(String reason, Optional<Duration> retryAfter, boolean draining)
      implements TargetResponse {}

  record Health(boolean passes, boolean draining) implements TargetResponse {}

  record Load(int slots, long running, boolean draining) implements TargetResponse {}
}
