package org.bergamotcross.entry;

import java.util.function.Consumer;
import org.bergamotcross.core.config.Target;

/**
 * Sends requests to targets; provided by the target client.
 *
 * <pre>{@code
 * AttemptHandle attempt =
 *     sender.send(request, target, 1, slots, event -> ring.offerReserved(wrap(event)));
 * }</pre>
 */
public interface TargetSender {

  /** Controls a started attempt. All methods are non-blocking and thread-safe. */
  interface AttemptHandle {

    /**
     * Delivers the response to the caller; allowed after {@link AttemptEvent.ResponseHead}.
     *
     * @return whether the caller gets this response; false when the request already has one
     */
    boolean deliverResponse();

    /** Cancels the attempt by closing its connection; no event follows. */
    void cancel();
  }

  /**
   * Starts an attempt without blocking.
   *
   * @param request the request
   * @param target the target to send to
   * @param attempt the number of the attempt, starting at 1
   * @param slots the number of requests that the target runs concurrently, which limits idle
   *     connections
   * @param events receives the events of the attempt on another thread; it must not block and only
   *     offers them to a ring
   * @return the handle of the attempt
   */
  AttemptHandle send(
      AdmittedRequest request,
      Target target,
      int attempt,
      int slots,
      Consumer<AttemptEvent> events);

  /**
   * Checks whether the body of a request can be sent again.
   *
   * @param request the request
   * @return false when the body is a stream whose already sent part is not buffered
   */
  boolean isRepeatable(AdmittedRequest request);

  /**
   * Checks whether the caller of a request still waits for a response.
   *
   * @param request the request
   * @return false when the caller disconnected before the request was sent
   */
  boolean isCallerWaiting(AdmittedRequest request);
}
