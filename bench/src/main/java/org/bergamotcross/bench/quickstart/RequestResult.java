package org.bergamotcross.bench.quickstart;

import java.util.Optional;

/**
 * The result of one request, as its caller sees it.
 *
 * @param requestId the request id that the caller sent
 * @param organisation the organisation whose key the caller sent, empty if it sent none
 * @param instance the address of the instance that received the request
 * @param status the HTTP status, 0 if there was no response
 * @param targetOrganisation the organisation that the target received
 * @param targetRequestId the request id that the target received
 * @param target the target that responded, empty if none did
 * @param refusalCode the refusal code, or the error if there was no response
 * @param outcome the execution outcome that a refusal states
 */
record RequestResult(
    String requestId,
    String organisation,
    String instance,
    int status,
    String targetOrganisation,
    String targetRequestId,
    String target,
    Optional<String> refusalCode,
    Optional<String> outcome) {

  /** Returns whether the response belongs to this request and its organisation. */
  boolean isOwnResponse() {
    return status == 200
        && targetRequestId.equals(requestId)
        && targetOrganisation.equals(organisation);
  }

  /** Returns whether the request was refused with the given code and outcome. */
  boolean isRefusal(String code, String expectedOutcome) {
    return refusalCode.filter(code::equals).isPresent()
        && outcome.filter(expectedOutcome::equals).isPresent();
  }
}
