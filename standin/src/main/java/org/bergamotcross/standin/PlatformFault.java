package org.bergamotcross.standin;

import java.time.Duration;

/** The ways in which the platform can fail. */
public sealed interface PlatformFault {

  /** The platform works. */
  record None() implements PlatformFault {}

  /**
   * Requests are refused and have no effect.
   *
   * @param closeConnection whether the connection is closed without an answer, instead of a 503
   */
  record Outage(boolean closeConnection) implements PlatformFault {}

  /**
   * Answers come late; appends take effect at once.
   *
   * @param delay the time by which an answer is late
   */
  record Latency(Duration delay) implements PlatformFault {}

  /** Appends take effect, but their answers are never sent. */
  record LostResponse() implements PlatformFault {}

  /** A read answers a page as it was before the offset that it asks for. */
  record StalePage() implements PlatformFault {}
}
