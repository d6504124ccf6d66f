package org.bergamotcross.standin;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The messages of a target duty. */
sealed interface TargetInput {

  /**
   * A request for work, with its whole body consumed.
   *
   * @param id unique in the target
   * @param connection the connection it came on
   * @param facts what the executions record of it
   * @param deadlineMillis the value of {@code X-Request-Deadline}, in Unix milliseconds
   */
  record WorkRequest(
      long id,
      long connection,
      Execution execution,
      Optional<Long> deadlineMillis,
      CompletableFuture<TargetResponse> response)
      implements TargetInput {}

  /** The work time of a piece of work is over. */
  record WorkTimeElapsed(long id) implements TargetInput {}

  record ConnectionClosed(long connection) implements TargetInput {}

  record QueryHealth(CompletableFuture<TargetResponse> response) implements TargetInput {}

  record QueryLoad(CompletableFuture<TargetResponse> response) implements TargetInput {}

  record Change(TargetChange change, CompletableFuture<Void> applied) implements TargetInput {}

  /** A fault with a length is over, unless another fault has replaced it. */
  record FaultExpired(long faultSequence) implements TargetInput {}
}
