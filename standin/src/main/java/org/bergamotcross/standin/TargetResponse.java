package org.bergamotcross.standin;

import java.time.Duration;
import java.util.Optional;

/** What a target answers, apart from its encoding. */
sealed interface TargetResponse {

  boolean draining();

  record Completed(boolean draining) implements TargetResponse {}

  record Failed(boolean draining) implements TargetResponse {}

  record Truncated(boolean draining) implements TargetResponse {}

  record NotRun(String reason, Optional<Duration> retryAfter, boolean draining)
      implements TargetResponse {}

  record Health(boolean passes, boolean draining) implements TargetResponse {}

  record Load(int slots, long running, boolean draining) implements TargetResponse {}
}
