package org.bergamotcross.entry;

import java.time.Duration;
import java.util.Optional;
import org.bergamotcross.core.admission.StoredResponse;

/**
 * An event of an attempt. {@link ResponseHead} occurs at most once; every other event ends the
 * attempt, and exactly one of those occurs unless the attempt is cancelled.
 */
public sealed interface AttemptEvent {

  /** No connection could be opened, so no byte of the request was sent. */
  record ConnectFailed() implements AttemptEvent {}

  /**
   * The response head arrived.
   *
   * @param status the HTTP status
   * @param draining whether the target reported that it is draining
   * @param retryAfter the delay after which the target accepts a retry
   * @param response the whole response to a claimed request, when it is small enough to be stored
   */
  record ResponseHead(
      int status,
      boolean draining,
      Optional<Duration> retryAfter,
      Optional<StoredResponse> response)
      implements AttemptEvent {}

  /** The whole response arrived. */
  record ResponseCompleted() implements AttemptEvent {}

  /** The connection broke, or the response can't be distinguished from a truncated one. */
  record ConnectionBroken() implements AttemptEvent {}

  /**
   * The target shed the request and reported that it did not run it.
   *
   * @param draining whether the target reported that it is draining
   * @param retryAfter the delay after which the target accepts a retry
   */
  record RequestShed(boolean draining, Optional<Duration> retryAfter) implements AttemptEvent {}

  /**
   * The request body exceeded the size limit while it was being sent.
   *
   * @param limitBytes the limit in bytes
   */
  record BodyTooLarge(long limitBytes) implements AttemptEvent {}

  /** The caller stopped sending the request or reading the response. */
  record CallerDisconnected() implements AttemptEvent {}
}
