package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.SendResult;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.entry.TargetSender.AttemptHandle;
import org.bergamotcross.kernel.ClockReading;

/**
 * An admitted request from its arrival at routing until its end. Not thread-safe; used only by the
 * routing thread.
 */
final class RoutedRequest {
  /** Orders by earliest deadline, then by admission. */
  static final Comparator<RoutedRequest> BY_DEADLINE =
      Comparator.comparing((RoutedRequest request) -> request.admitted.deadline())
          .thenComparingLong(request -> request.sequenceNumber);

  /** The stage of a request. */
  sealed interface Stage {

    /** The request waits for a target; no attempt is in flight. */
    record AwaitingTarget() implements Stage {}

    /**
     * The request waits for the delay before a retry.
     *
     * @param until the time at which the next target is chosen
     */
    record BackingOff(ClockReading until) implements Stage {}

    /**
     * An attempt is in flight and the response head has not arrived.
     *
     * @param id the id of the attempt, unique in the process
     * @param target the target of the attempt
     * @param sending the handle of the attempt at the target client
     * @param startedAt when the attempt was dispatched
     */
    record Sent(String id, Target target, AttemptHandle sending, ClockReading startedAt)
        implements Stage {}

    /**
     * The response is being delivered to the caller.
     *
     * @param sent the attempt
     * @param result the result according to the response head
     * @param timeToHead the time from the dispatch to the response head
     */
    record Delivering(Sent sent, SendResult.Completed result, Duration timeToHead)
        implements Stage {}

    /** The request has ended. */
    record Ended() implements Stage {}
  }

  private final AdmittedRequest admitted;
  private final long sequenceNumber;
  private Stage stage = new Stage.AwaitingTarget();
  private Optional<TargetId> previousTarget = Optional.empty();
  private int attemptCount;
  private boolean mayHaveRun;
  private boolean claimReported;
  private boolean markedStalled;

  /**
   * Creates a request that awaits a target.
   *
   * @param admitted the admitted request
   * @param sequenceNumber a number that is unique in the process and increases in the order of
   *     admission
   */
  RoutedRequest(AdmittedRequest admitted, long sequenceNumber) {
    this.admitted = admitted;
    this.sequenceNumber = sequenceNumber;
  }

  AdmittedRequest admitted() {
    return admitted;
  }

  /** Returns the request id, which other open requests may share because callers choose it. */
  String id() {
    return admitted.request().id();
  }

  /** Returns an id that is unique in this process. */
  String uniqueId() {
    return id() + "#" + sequenceNumber;
  }

  Stage stage() {
    return stage;
  }

  void enterStage(Stage next) {
    stage = next;
  }

  /** Returns the target of the latest attempt. */
  Optional<TargetId> previousTarget() {
    return previousTarget;
  }

  /** Returns the number of attempts so far, which is also the number of the latest one. */
  int attemptCount() {
    return attemptCount;
  }

  /** Counts a new attempt. */
  void startAttempt(TargetId target) {
    previousTarget = Optional.of(target);
    attemptCount++;
    markedStalled = false;
  }

  /**
   * Checks whether an ended attempt may have run, so that the request must not be reported as not
   * run.
   */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  void markMayHaveRun() {
    mayHaveRun = true;
  }

  boolean isMarkedStalled() {
    return markedStalled;
  }

  /** Marks the current attempt as stalled; returns true the first time. */
  boolean markStalled() {
    boolean first = !markedStalled;
    markedStalled = true;
    return first;
  }

  /**
   * Returns whether the end of the claim must still be reported to admission; true at most once.
   */
  boolean takeClaimReportDue() {
    boolean due = admitted.claimed() && !claimReported;
    claimReported = true;
    return due;
  }
}
