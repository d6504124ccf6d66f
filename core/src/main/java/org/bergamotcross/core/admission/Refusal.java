package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * A reason for which a request is refused; each front end maps it to its protocol.
 *
 * <p>{@link ExecutionOutcome#NOT_RUN} is reported only if no byte of the request can have reached a
 * target, or if the target itself reported that it did not run the request.
 */
public sealed interface Refusal {

  /**
   * Returns the code that is sent to callers and written to the log.
   *
   * @return the code, in lower case with hyphens
   */
  default String code() {
    return switch (this) {
      case MissingKey ignored -> "missing-key";
      case UnknownKey ignored -> "unknown-key";
      case WithdrawnKey ignored -> "withdrawn-key";
      case ConflictingKeys ignored -> "conflicting-keys";
      case OrganisationNotAllowed ignored -> "organisation-not-allowed";
      case NoRoute ignored -> "no-route";
      case MethodNotAllowed ignored -> "method-not-allowed";
      case BadRequestHeader ignored -> "bad-request-header";
      case BodyTooLarge ignored -> "body-too-large";
      case RateExceeded ignored -> "rate-exceeded";
      case Overloaded ignored -> "overloaded";
      case NoTarget ignored -> "no-target";
      case TargetsPaused ignored -> "targets-paused";
      case PoolFull ignored -> "pool-full";
      case Stopping ignored -> "stopping";
      case NotReady ignored -> "not-ready";
      case StaleConfiguration ignored -> "stale-configuration";
      case ClaimUnavailable ignored -> "claim-unavailable";
      case TargetRefused ignored -> "target-refused";
      case DeadlineBeforeSend ignored -> "deadline-before-send";
      case DeadlineAfterSend ignored -> "deadline-after-send";
      case TargetFailed ignored -> "target-failed";
      case AlreadyClaimed ignored -> "already-claimed";
    };
  }

  /**
   * Returns what is known about the execution of the request.
   *
   * @return the outcome that is reported to the caller
   */
  default ExecutionOutcome outcome() {
    return switch (this) {
      case BodyTooLarge refusal -> refusal.outcome();
      case AlreadyClaimed refusal -> refusal.outcome();
      case DeadlineAfterSend ignored -> ExecutionOutcome.UNKNOWN;
      case TargetFailed ignored -> ExecutionOutcome.UNKNOWN;
      default -> ExecutionOutcome.NOT_RUN;
    };
  }

  /** The request has no key. */
  record MissingKey() implements Refusal {}

  /** The key belongs to no organisation. */
  record UnknownKey() implements Refusal {}

  /** The key was withdrawn. */
  record WithdrawnKey() implements Refusal {}

  /** The request has more than one distinct key. */
  record ConflictingKeys() implements Refusal {}

  /**
   * The route is not open to the organisation of the key.
   *
   * @param route the route
   */
  record OrganisationNotAllowed(String route) implements Refusal {}

  /**
   * No route has a path that is a prefix of the request's path.
   *
   * @param path the path
   */
  record NoRoute(String path) implements Refusal {}

  /**
   * The route does not allow the method.
   *
   * @param method the HTTP method
   * @param route the route
   */
  record MethodNotAllowed(String method, String route) implements Refusal {}

  /**
   * A request header is malformed.
   *
   * @param header the name of the header
   * @param expected a description of a valid value
   */
  record BadRequestHeader(String header, String expected) implements Refusal {}

  /**
   * The body is larger than the limit.
   *
   * @param limitBytes the limit in bytes
   * @param outcome what is known about the execution
   */
  record BodyTooLarge(long limitBytes, ExecutionOutcome outcome) implements Refusal {}

  /**
   * The organisation has exhausted its rate and burst.
   *
   * @param retryAfter how long to wait before a retry
   */
  record RateExceeded(Duration retryAfter) implements Refusal {}

  /**
   * A ring or queue is full.
   *
   * @param queue the name of the ring or queue
   */
  record Overloaded(String queue) implements Refusal {}

  /**
   * No target of the pool is available.
   *
   * @param pool the pool
   */
  record NoTarget(String pool) implements Refusal {}

  /**
   * All targets of the pool that could run the request asked for a pause.
   *
   * @param pool the pool
   * @param retryAfter the time until the first pause ends
   */
  record TargetsPaused(String pool, Duration retryAfter) implements Refusal {}

  /**
   * The pool has too little room for all requests of this priority.
   *
   * @param pool the pool
   * @param retryAfter when the caller may come back
   */
  record PoolFull(String pool, Duration retryAfter) implements Refusal {}

  /** The instance is stopping. */
  record Stopping() implements Refusal {}

  /**
   * The instance is not ready to serve the request, for example because it has no configuration
   * yet.
   */
  record NotReady() implements Refusal {}

  /**
   * The instance has no fresh confirmation of its configuration, either from the log or from a
   * majority of its peers.
   */
  record StaleConfiguration() implements Refusal {}

  /**
   * Too few holders could record the idempotency key.
   *
   * @param reason the responses of the holders
   */
  record ClaimUnavailable(String reason) implements Refusal {}

  /**
   * The target reported that it did not run the request.
   *
   * @param target the target
   * @param retryAfter how long to wait before a retry
   */
  record TargetRefused(String target, Optional<Duration> retryAfter) implements Refusal {}

  /** The deadline passed before the request was sent. */
  record DeadlineBeforeSend() implements Refusal {}

  /**
   * The deadline passed after the request was sent.
   *
   * @param target the target
   */
  record DeadlineAfterSend(String target) implements Refusal {}

  /**
   * The connection broke before the response was complete.
   *
   * @param target the target
   */
  record TargetFailed(String target) implements Refusal {}

  /**
   * Another attempt with the same idempotency key was or may have been sent.
   *
   * @param outcome what is known about the execution
   */
  record AlreadyClaimed(ExecutionOutcome outcome) implements Refusal {}
}
