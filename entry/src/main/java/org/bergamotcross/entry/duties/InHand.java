package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.SendResult;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.entry.TargetSender.AttemptHandle;
import org.bergamotcross.kernel.Now;

/** A request between its admission and its end; used by the routing thread alone. */
final class InHand {
  /** The earliest deadline first; the order of admission breaks ties. */
  static final Comparator<InHand> BY_DEADLINE =
      Comparator.comparing((InHand request) -> request.admitted.deadline())
          .thenComparingLong(request -> request.order);

  /** Where the request is. */
  sealed interface Stage {

    /** The request waits for a target, and no byte of it is under way. */
    record Waiting() implements Stage {}

    /**
     * The request waits until it may be sent again.
     *
     * @param until the time of the next choice of a target
     */
    record BackingOff(Now until) implements Stage {}

    /**
     * An attempt is under way.
     *
     * @param id the attempt, unique in the process
     * @param target the target
     * @param sending the attempt at the target client
     * @param startedAt when it was sent
     */
    record Sent(String id, Target target, AttemptHandle sending, Now startedAt) implements Stage {}

    /**
     * The caller is getting the response.
     *
     * @param sent the attempt
     * @param result what the head says
     * @param timeToHead the time from the send to the head
     */
    record Delivering(Sent sent, SendResult.Completed result, Duration timeToHead)
        implements Stage {}

    /** The request is over. */
    record Ended() implements Stage {}
  }

  private final AdmittedRequest admitted;
  private final long order;
  private Stage stage = new Stage.Waiting();
  private Optional<TargetId> previous = Optional.empty();
  private int attempts;
  private boolean mayHaveRun;
  private boolean claimReported;
  private boolean stallNoted;

  /**
   * Takes a request in hand.
   *
   * @param admitted the request
   * @param order a number unique in the process
   */
  InHand(AdmittedRequest admitted, long order) {
    this.admitted = admitted;
    this.order = order;
  }

  AdmittedRequest admitted() {
    return admitted;
  }

  /** Returns the caller's id, which other requests in hand may share. */
  String id() {
    return admitted.request().id();
  }

  /** Returns an id that no other request in this process has. */
  String uniqueId() {
    return id() + "#" + order;
  }

  Stage stage() {
    return stage;
  }

  void enter(Stage next) {
    stage = next;
  }

  /** Returns the target of the last attempt. */
  Optional<TargetId> previous() {
    return previous;
  }

  /** Returns the number of the last attempt, 0 before the first. */
  int attempts() {
    return attempts;
  }

  /** Starts to count an attempt. */
  void startAttempt(TargetId target) {
    previous = Optional.of(target);
    attempts++;
    stallNoted = false;
  }

  /** Tells whether an attempt that ended may have run, so that "not run" would be false. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  void noteMayHaveRun() {
    mayHaveRun = true;
  }

  boolean isStallNoted() {
    return stallNoted;
  }

  /** Notes that the present attempt counts as stalled; true the first time. */
  boolean noteStall() {
    boolean first = !stallNoted;
    stallNoted = true;
    return first;
  }

  /** Tells whether admission still has to be told the end of the claim; true at most once. */
  boolean takeClaimReport() {
    boolean due = admitted.claimed() && !claimReported;
    claimReported = true;
    return due;
  }
}
