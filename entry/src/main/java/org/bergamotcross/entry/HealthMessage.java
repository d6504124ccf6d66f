package org.bergamotcross.entry;

import java.time.Duration;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.SendResult;

/** The messages of the health duty. */
public sealed interface HealthMessage {

  /**
   * An attempt was sent to a target.
   *
   * @param attempt the request id and the number of the attempt, unique
   * @param pool the pool
   * @param target the target
   */
  record AttemptStarted(String attempt, PoolId pool, TargetId target) implements HealthMessage {}

  /**
   * The head of the response arrived; from then on a slow caller can make the attempt last, so that
   * its age says nothing about the target. Offered to the reserve.
   *
   * @param attempt the attempt
   * @param pool the pool
   * @param target the target
   */
  record ResponseStarted(String attempt, PoolId pool, TargetId target) implements HealthMessage {}

  /**
   * An attempt ended; offered to the reserve.
   *
   * @param attempt the attempt
   * @param pool the pool
   * @param target the target
   * @param result how it ended
   * @param timeToHead the time from the send to the head of the response, or to the end when there
   *     was no head
   */
  record AttemptEnded(
      String attempt, PoolId pool, TargetId target, SendResult result, Duration timeToHead)
      implements HealthMessage {}

  /** Messages that only the health plug-in sends to itself; it seals them on its side. */
  non-sealed interface Internal extends HealthMessage {}
}
