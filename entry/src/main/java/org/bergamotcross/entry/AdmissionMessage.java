package org.bergamotcross.entry;

import java.util.Optional;
import org.bergamotcross.core.admission.ExecutionOutcome;
import org.bergamotcross.core.admission.StoredResponse;

/** A message to the admission duty. */
public sealed interface AdmissionMessage {

  /**
   * A request was received from a caller; offered to the ring as new work.
   *
   * @param request the received request
   */
  record RequestReceived(CallerRequest request) implements AdmissionMessage {}

  /**
   * The caller disconnected; its request may still be pending.
   *
   * @param handle identifies the request; callers choose request ids, so two open requests may have
   *     the same one
   */
  record CallerDisconnected(RequestHandle handle) implements AdmissionMessage {}

  /**
   * A request that holds an idempotency claim ended; offered to the reserved part of the ring.
   *
   * @param request the request that ended
   * @param outcome whether a target ran the request
   * @param response the response to store, when it is small enough to be stored
   */
  record ClaimEnded(
      AdmittedRequest request, ExecutionOutcome outcome, Optional<StoredResponse> response)
      implements AdmissionMessage {}

  /** Messages that the admission plug-in sends to its own duty; it declares the sealed subtypes. */
  non-sealed interface Internal extends AdmissionMessage {}
}
