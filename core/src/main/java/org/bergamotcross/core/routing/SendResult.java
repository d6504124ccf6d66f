package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Optional;

/** The result of one attempt to run a request at a target. */
public sealed interface SendResult {

  /**
   * The whole response arrived.
   *
   * @param status the HTTP status
   * @param draining whether the target announced that it is draining
   */
  record Completed(int status, boolean draining) implements SendResult {}

  /**
   * The target rejected the request without running it.
   *
   * @param retryAfter the delay that the target asked for, if any
   * @param draining whether the target announced that it is draining
   */
  record Shed(Optional<Duration> retryAfter, boolean draining) implements SendResult {}

  /** No connection could be opened, so no byte of the request was sent. */
  record ConnectFailed() implements SendResult {}

  /** The connection broke after a byte may have been sent and before the response was complete. */
  record Broken() implements SendResult {}

  /** The deadline passed after a byte may have been sent; the connection was closed. */
  record TimedOut() implements SendResult {}

  /**
   * The caller disconnected and the connection was closed. This is no evidence about the target.
   */
  record Cancelled() implements SendResult {}
}
