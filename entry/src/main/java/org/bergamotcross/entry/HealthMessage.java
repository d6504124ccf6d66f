package org.bergamotcross.entry;

import java.time.Duration;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.SendResult;

/** A message to the health duty. */
public sealed interface HealthMessage {

  /**
   * An attempt was dispatched to a target.
   *
   * @param attempt the unique id of the attempt, made of the request id and a number
   * @param pool the pool
   * @param target the target
   */
  record AttemptStarted(String attempt, PoolId pool, TargetId target) implements HealthMessage {}

  /**
   * The response head of an attempt arrived; offered to the reserved part of the ring. From then on
   * a slow caller can prolong the attempt, so its age no longer says anything about the target.
   *
   * @param attempt the attempt
   * @param pool the pool
   * @param target the target
   */
  record ResponseStarted(String attempt, PoolId pool, TargetId target) implements HealthMessage {}

  /**
   * An attempt ended; offered to the reserved part of the ring.
   *
   * @param attempt the attempt
   * @param pool the pool
   * @param target the target
   * @param result how the attempt ended
   * @param timeToHead the time from the dispatch to the response head, or to the end when there was
   *     no head
   */
  record AttemptEnded(
      String attempt, PoolId pool, TargetId target, SendResult result, Duration timeToHead)
      implements HealthMessage {}

  /** Messages that the health plug-in sends to its own duty; it declares the sealed subtypes. */
  non-sealed interface Internal extends HealthMessage {}
}
