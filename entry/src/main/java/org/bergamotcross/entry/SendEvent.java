package org.bergamotcross.entry;

import java.time.Duration;
import java.util.Optional;
import org.bergamotcross.core.admission.StoredAnswer;

/**
 * What happens to an attempt. {@link Head} comes at most once; each of the others ends the attempt,
 * and exactly one of them comes unless the attempt is cancelled.
 */
public sealed interface SendEvent {

  /** No connection could be opened, so no byte of the request has left. */
  record ConnectFailed() implements SendEvent {}

  /**
   * The head of the response arrived.
   *
   * @param status the HTTP status
   * @param draining whether the target said that it is draining
   * @param retryAfter when the target wants to be asked again
   * @param answer the whole response of a claimed request, when it is small enough to be kept
   */
  record Head(
      int status, boolean draining, Optional<Duration> retryAfter, Optional<StoredAnswer> answer)
      implements SendEvent {}

  /** The whole response arrived. */
  record Completed() implements SendEvent {}

  /** The connection broke, or the response can't be told from one that broke. */
  record Broken() implements SendEvent {}

  /**
   * The target said that it did not run the request.
   *
   * @param draining whether the target said that it is draining
   * @param retryAfter when the target wants to be asked again
   */
  record Shed(boolean draining, Optional<Duration> retryAfter) implements SendEvent {}

  /**
   * The body from the caller exceeded the limit while it was being sent.
   *
   * @param limitBytes the limit in bytes
   */
  record BodyTooLarge(long limitBytes) implements SendEvent {}

  /** The caller stopped sending the request or reading the response. */
  record CallerLeft() implements SendEvent {}
}
