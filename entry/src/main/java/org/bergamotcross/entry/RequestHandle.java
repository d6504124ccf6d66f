package org.bergamotcross.entry;

import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.core.admission.StoredResponse;

/**
 * Responds to the caller of one request; implemented by the front end, which holds headers and
 * body.
 *
 * <p>Only the first response takes effect, whether it comes from one of these methods or from a
 * target; later calls are ignored. All methods are non-blocking and thread-safe.
 */
public interface RequestHandle {

  /**
   * Refuses the request.
   *
   * @param refusal the reason, and whether the request ran
   */
  void refuse(Refusal refusal);

  /**
   * Responds to a repeated request with the stored response to the first one.
   *
   * @param response the stored response
   */
  void replay(StoredResponse response);
}
