package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Optional;

/** How one attempt to run a request at a target ended. */
public sealed interface SendResult {

  /**
   * The whole response arrived.
   *
   * @param status the HTTP status
   * @param draining whether the target said that it is draining
   */
  record Completed(int status, boolean draining) implements SendResult {}

  /**
   * The target said that it did not run the request.
   *
   * @param retryAfter when the target wants to be asked again
   * @param draining whether the target said that it is draining
   */
  record Shed(Optional<Duration> retryAfter, boolean draining) implements SendResult {}

  /** No connection could be opened, so no byte of the request has left. */
  record ConnectFailed() implements SendResult {}

  /** The connection broke after a byte may have left and before the response was whole. */
  record Broken() implements SendResult {}

  /** The deadline passed after a byte may have left; the connection was closed. */
  record TimedOut() implements SendResult {}

  /** The caller went away; the connection was closed. It says nothing about the target. */
  record Cancelled() implements SendResult {}
}
