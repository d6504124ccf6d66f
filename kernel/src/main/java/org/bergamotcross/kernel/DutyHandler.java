package org.bergamotcross.kernel;

import java.time.Duration;

/**
 * Handles the messages and the timed work of one duty; all methods run on the duty's thread.
 *
 * @param <T> the type of the messages
 */
public interface DutyHandler<T> {

  /**
   * Handles one message.
   *
   * @param message the message
   * @param now the time at which the message was removed from the ring
   */
  void onMessage(T message, ClockReading now);

  /**
   * Does the timed work that is due.
   *
   * <p>A handler without timed work returns a delay of more than 50 ms. It is then called again
   * right after the next message, so that an idle process wakes rarely and work that a message
   * creates is still done in time.
   *
   * @param now the current time
   * @return the delay until the next call
   */
  Duration onTick(ClockReading now);
}
