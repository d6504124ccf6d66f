package org.bergamotcross.standin;

import java.time.Duration;

/** Faults that can be injected into the platform stand-in. */
public sealed interface PlatformFault {

  /** No fault: the platform works normally. */
  record None() implements PlatformFault {}

  /**
   * Requests are rejected and have no effect.
   *
   * @param closeConnection whether the connection is closed without a response instead of a
   *     response with status 503
   */
  record Outage(boolean closeConnection) implements PlatformFault {}

  /**
   * Responses are delayed; appends still take effect at once.
   *
   * @param delay the time added to each response
   */
  record Latency(Duration delay) implements PlatformFault {}

  /** Appends take effect, but their responses are never sent. */
  record LostResponse() implements PlatformFault {}

  /** Reads return a stale page, which ends before the requested offset. */
  record StalePage() implements PlatformFault {}
}
