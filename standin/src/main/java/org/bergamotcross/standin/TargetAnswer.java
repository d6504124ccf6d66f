package org.bergamotcross.standin;

import java.time.Duration;
import java.util.Optional;

/** What a target answers, apart from its encoding. */
sealed interface TargetAnswer {

  boolean draining();

  record Done(boolean draining) implements TargetAnswer {}

  record Failed(boolean draining) implements TargetAnswer {}

  record Cut(boolean draining) implements TargetAnswer {}

  record NotRun(String reason, Optional<Duration> retryAfter, boolean draining)
      implements TargetAnswer {}

  record Health(boolean passes, boolean draining) implements TargetAnswer {}

  record Load(int slots, long running, boolean draining) implements TargetAnswer {}
}
