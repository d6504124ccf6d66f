package org.bergamotcross.core.routing;

import org.bergamotcross.kernel.ClockReading;

/** What a target announced about itself, for as long as it is in force. */
public sealed interface TargetNotice {

  /** The target is leaving and gets no further request until it starts again. */
  record Leaving() implements TargetNotice {}

  /**
   * The target rejected a request and wants none for a while.
   *
   * @param until when the pause ends
   */
  record Paused(ClockReading until) implements TargetNotice {}
}
