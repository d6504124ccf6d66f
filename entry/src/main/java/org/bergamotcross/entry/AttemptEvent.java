package org.bergamotcross.entry;

import java.time.Duration;
import java.util.Optional;
import org.bergamotcross.core.admission.StoredResponse;

/**
 * What happens to an attempt. {@link ResponseHead} comes at most once; each of the others ends the
 * attempt, and exactly one of them comes unless the attempt is cancelled.
 */
public sealed interface AttemptEvent {

  /** No connection could be opened, so no byte of the request has left. */
  record ConnectFailed() implements AttemptEvent {}

  /**
   * The head of the response arrived.
   *
   * @param status the HTTP status
   * @param draining whether the target said that it is draining
   * @param retryAfter when the target wants to be asked again
   * @param answer the whole response of a claimed request, when it is small enough to be kept
   */
  record ResponseHead(
      int status, boolean draining, Optional<Duration> retryAfter, Optional<StoredResponse> answer)
      implements AttemptEvent {}

  /** The whole response arrived. */
  record ResponseCompleted() implements AttemptEvent {}

  /** The connection broke, or the response can't be told from one that broke. */
  record ConnectionBroken() implements AttemptEvent {}

  /**
   * The target said that it did not run the request.
   *
   * @param draining whether the target said that it is draining
   * @param retryAfter when the target wants to be asked again
   */
  record RequestShed(boolean draining, Optional<Duration> retryAfter) implements AttemptEvent {}

  /**
   * The body from the caller exceeded the limit while it was being sent.
   *
   * @param limitBytes the limit in bytes
   */
  record BodyTooLarge(long limitBytes) implements AttemptEvent {}

  /** The caller stopped sending the request or reading the response. */
  record CallerDisconnected() implements AttemptEvent {}
}
