package org.bergamotcross.entry;

import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.core.admission.StoredResponse;

/**
 * The front end's side of one request: its headers, its body and the way back to the caller.
 *
 * <p>Exactly one of the methods takes effect, or the response of a target does; later calls change
 * nothing. All methods return at once and are safe on any thread.
 */
public interface RequestHandle {

  /**
   * Refuses the request.
   *
   * @param refusal why, and whether the request ran
   */
  void refuse(Refusal refusal);

  /**
   * Answers a repeat with the answer to the first request.
   *
   * @param answer the answer
   */
  void replay(StoredResponse answer);
}
