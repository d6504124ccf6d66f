package org.bergamotcross.core.admission;

/** The decision on a request that follows from the votes of the holders. */
public sealed interface ClaimDecision {

  /** The claim is granted: the request may be sent to a target until its deadline. */
  record Send() implements ClaimDecision {}

  /**
   * An earlier attempt has run: its stored response is replayed to the caller.
   *
   * @param response the stored response
   */
  record ReplayStored(StoredResponse response) implements ClaimDecision {}

  /**
   * The request must not be sent.
   *
   * @param refusal the reason
   */
  record Refuse(Refusal refusal) implements ClaimDecision {}
}
