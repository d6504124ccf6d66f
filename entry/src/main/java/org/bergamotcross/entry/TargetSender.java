package org.bergamotcross.entry;

import java.util.function.Consumer;
import org.bergamotcross.core.config.Target;

/**
 * Sends requests to targets; provided by the target client.
 *
 * <pre>{@code
 * Sending sending = sender.send(request, target, 1, slots, event -> ring.offerReserved(wrap(event)));
 * }</pre>
 */
public interface TargetSender {

  /** One attempt that was started. All methods return at once and are safe on any thread. */
  interface AttemptHandle {

    /**
     * Gives the response to the caller; allowed after {@link AttemptEvent.ResponseHead}.
     *
     * @return whether the caller gets this response; false when the request has been answered
     */
    boolean deliverResponse();

    /** Ends the attempt by closing its connection; no event follows. */
    void cancel();
  }

  /**
   * Starts an attempt and returns at once.
   *
   * @param request the request
   * @param target where it is sent
   * @param attempt the number of the attempt, from 1
   * @param slots the number of requests that the target runs at once, which bounds idle connections
   * @param events receives what happens, on another thread; it only offers the event to a ring
   * @return the attempt
   */
  AttemptHandle send(
      AdmittedRequest request,
      Target target,
      int attempt,
      int slots,
      Consumer<AttemptEvent> events);

  /**
   * Tells whether the body of a request can be sent a second time.
   *
   * @param request the request
   * @return false when the body is a stream, of which the part already sent is not kept
   */
  boolean isRepeatable(AdmittedRequest request);

  /**
   * Tells whether the caller of a request still waits for a response.
   *
   * @param request the request
   * @return false when the caller left before the request was sent
   */
  boolean isCallerWaiting(AdmittedRequest request);
}
