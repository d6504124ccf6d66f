package org.bergamotcross.core.admission;

import java.util.List;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.ClockReading;

/**
 * Limits the rate of each organisation over all instances.
 *
 * <p>The implementations differ in what they rely on: {@link BorrowingRateLimiter} needs membership
 * epochs from a log, {@link DelegatingRateLimiter} a directory of instances and beats between them.
 */
public sealed interface RateLimiter permits BorrowingRateLimiter, DelegatingRateLimiter {

  /**
   * Applies a new configuration.
   *
   * @param next the configuration
   * @param now the current time
   */
  void configure(Configuration next, ClockReading now);

  /**
   * Sets the time until which tokens may be granted and used.
   *
   * @param until when the configuration stops counting as fresh
   */
  void setFreshUntil(ClockReading until);

  /**
   * Admits, queues or refuses a request.
   *
   * @param requestId the request
   * @param organisation the organisation of the request
   * @param deadline when the caller stops waiting for a response
   * @param now the current time
   * @return the decision
   */
  RateDecision tryAdmit(
      String requestId, Organisation organisation, ClockReading deadline, ClockReading now);

  /**
   * Cancels the wait of a request whose caller disconnected or whose key was withdrawn.
   *
   * @param requestId the request
   * @return whether the request was waiting
   */
  boolean cancel(String requestId);

  /**
   * Processes a message of a peer.
   *
   * @param from the sender
   * @param message the message; records of other kinds are ignored
   * @param now the current time
   */
  void onMessage(InstanceId from, Record message, ClockReading now);

  /**
   * Performs the work that is due; the caller invokes it after each other method and at least every
   * {@link BorrowingRateLimiter#TICK_INTERVAL} while {@link #isIdle} is false.
   *
   * @param now the current time
   * @return messages to send, requests that no longer wait, and events
   */
  RateLimiterOutput step(ClockReading now);

  /**
   * Gives up borrowed tokens or delegated leases ahead of a planned stop.
   *
   * @param now the current time
   * @return messages to send
   */
  List<OutboundMessage> release(ClockReading now);

  /**
   * Returns whether no work is due before the next message or request.
   *
   * @return whether {@link #step} need not be called until then
   */
  boolean isIdle();
}
