package org.bergamotcross.standin;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Messages to the duty of a target stand-in. */
sealed interface TargetInput {

  /**
   * A request to execute, whose body has been read completely.
   *
   * @param id the id of the work, unique within the target
   * @param connection the id of the connection that carries the request
   * @param execution the entry to record when the work starts
   * @param deadlineMillis the deadline in Unix milliseconds, if the request has one
   * @param response completed with the result; stays incomplete when the response is lost
   */
  record WorkRequest(
      long id,
      long connection,
      Execution execution,
      Optional<Long> deadlineMillis,
      CompletableFuture<TargetResponse> response)
      implements TargetInput {}

  /** The work time of a started request has elapsed. */
  record WorkTimeElapsed(long id) implements TargetInput {}

  record ConnectionClosed(long connection) implements TargetInput {}

  record QueryHealth(CompletableFuture<TargetResponse> response) implements TargetInput {}

  record QueryLoad(CompletableFuture<TargetResponse> response) implements TargetInput {}

  record Change(TargetChange change, CompletableFuture<Void> applied) implements TargetInput {}

  /**
   * The duration of an injected fault has elapsed.
   *
   * @param faultSequence the number of the fault; ignored when another fault has replaced it
   */
  record FaultExpired(long faultSequence) implements TargetInput {}
}
