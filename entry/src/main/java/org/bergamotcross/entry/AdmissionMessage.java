package org.bergamotcross.entry;

import java.util.Optional;
import org.bergamotcross.core.admission.ExecutionOutcome;
import org.bergamotcross.core.admission.StoredResponse;

/** The messages of the admission duty. */
public sealed interface AdmissionMessage {

  /**
   * A request arrived; offered as new work.
   *
   * @param request the request
   */
  record RequestReceived(CallerRequest request) implements AdmissionMessage {}

  /**
   * The caller of a request that may still wait went away.
   *
   * @param handle the request; ids are chosen by callers, so two open requests may share one
   */
  record CallerDisconnected(RequestHandle handle) implements AdmissionMessage {}

  /**
   * A request with a claim ended; offered to the reserve.
   *
   * @param request the request
   * @param outcome whether a target ran it
   * @param answer the answer, when it is small enough to be kept
   */
  record ClaimEnded(
      AdmittedRequest request, ExecutionOutcome outcome, Optional<StoredResponse> answer)
      implements AdmissionMessage {}

  /** Messages that only the admission plug-in sends to itself; it seals them on its side. */
  non-sealed interface Internal extends AdmissionMessage {}
}
