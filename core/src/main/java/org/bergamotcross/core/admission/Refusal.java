package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * The ways in which a request is refused; each front end maps them to its protocol.
 *
 * <p>{@link Outcome#NOT_RUN} is given only when no byte of the request can have reached a target,
 * or when the target itself said so.
 */
public sealed interface Refusal {

  /**
   * Returns the code that callers and log lines see.
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
   * Returns what is known about the execution.
   *
   * @return the outcome that the caller is told
   */
  default Outcome outcome() {
    return switch (this) {
      case BodyTooLarge refusal -> refusal.outcome();
      case AlreadyClaimed refusal -> refusal.outcome();
      case DeadlineAfterSend ignored -> Outcome.UNKNOWN;
      case TargetFailed ignored -> Outcome.UNKNOWN;
      default -> Outcome.NOT_RUN;
    };
  }

  /** The request has no key. */
  record MissingKey() implements Refusal {}

  /** No organisation has the key. */
  record UnknownKey() implements Refusal {}

  /** The key was withdrawn. */
  record WithdrawnKey() implements Refusal {}

  /** The request has two different keys. */
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
   * The route does not take the method.
   *
   * @param method the HTTP method
   * @param route the route
   */
  record MethodNotAllowed(String method, String route) implements Refusal {}

  /**
   * A header can't be read.
   *
   * @param header the header
   * @param expected what a right value looks like
   */
  record BadRequestHeader(String header, String expected) implements Refusal {}

  /**
   * The body is larger than the limit.
   *
   * @param limitBytes the limit in bytes
   * @param outcome what is known about the execution
   */
  record BodyTooLarge(long limitBytes, Outcome outcome) implements Refusal {}

  /**
   * The organisation has used its rate and burst.
   *
   * @param retryAfter when to try again
   */
  record RateExceeded(Duration retryAfter) implements Refusal {}

  /**
   * A ring or queue is full.
   *
   * @param queue the ring or queue
   */
  record Overloaded(String queue) implements Refusal {}

  /**
   * No target of the pool may be used.
   *
   * @param pool the pool
   */
  record NoTarget(String pool) implements Refusal {}

  /** The instance is stopping. */
  record Stopping() implements Refusal {}

  /** The instance has not learned the configuration yet. */
  record NotReady() implements Refusal {}

  /** The instance hears neither the log nor a majority of its peers. */
  record StaleConfiguration() implements Refusal {}

  /**
   * Too few holders could record the idempotency key.
   *
   * @param reason what the holders answered
   */
  record ClaimUnavailable(String reason) implements Refusal {}

  /**
   * The target said that it did not run the request.
   *
   * @param target the target
   * @param retryAfter when to try again
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
   * Another attempt with the same idempotency key was sent.
   *
   * @param outcome what is known about the execution
   */
  record AlreadyClaimed(Outcome outcome) implements Refusal {}
}
