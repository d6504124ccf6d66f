package org.bergamotcross.kernel;

import java.time.Duration;

/**
 * Handles the messages of one duty; all methods run on the thread of that duty.
 *
 * @param <T> the type of the messages
 */
public interface DutyHandler<T> {

  /**
   * Handles one message.
   *
   * @param message the message
   * @param now the time at which the message was taken from the ring
   */
  void onMessage(T message, Now now);

  /**
   * Does the work that is due by time.
   *
   * <p>A handler with nothing to do returns a delay of more than 50 ms; it is then called again
   * right after the next message, so that an idle process wakes rarely and a busy one in time.
   *
   * @param now the present time
   * @return the time until the next call
   */
  Duration onTick(Now now);
}
