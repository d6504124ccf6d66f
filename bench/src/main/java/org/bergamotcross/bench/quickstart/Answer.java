package org.bergamotcross.bench.quickstart;

import java.util.Optional;

/**
 * What a caller got for one request.
 *
 * @param request the request id that was sent
 * @param organisation the organisation whose key was sent, empty for none
 * @param instance the instance it was sent to
 * @param status the HTTP status, 0 when there was no response
 * @param servedFor the organisation that the target saw
 * @param servedRequest the request id that the target saw
 * @param target the target that answered, empty for none
 * @param refusal the code of the refusal
 * @param outcome the outcome of the refusal
 */
record Answer(
    String request,
    String organisation,
    String instance,
    int status,
    String servedFor,
    String servedRequest,
    String target,
    Optional<String> refusal,
    Optional<String> outcome) {

  /** Tells whether the caller got the response to its own request, on its own behalf. */
  boolean isOwnResponse() {
    return status == 200 && servedRequest.equals(request) && servedFor.equals(organisation);
  }

  /** Tells whether the request was refused with this code and outcome. */
  boolean isRefusal(String code, String expectedOutcome) {
    return refusal.filter(code::equals).isPresent()
        && outcome.filter(expectedOutcome::equals).isPresent();
  }
}
