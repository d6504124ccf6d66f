package org.bergamotcross.core.admission;

import java.util.Optional;

/** The vote of a holder on a {@link ClaimRequest}. */
public sealed interface ClaimVerdict {

  /** The key is granted exclusively to the attempt. */
  record Granted() implements ClaimVerdict {}

  /**
   * The key is claimed by another attempt, or this attempt has ended.
   *
   * @param state the recorded state of that attempt
   * @param answer its response, if it is stored
   */
  record Exists(ClaimState state, Optional<StoredResponse> answer) implements ClaimVerdict {}

  /** The holder is at a different membership epoch than the request. */
  record WrongEpoch() implements ClaimVerdict {}

  /**
   * The holder has not yet learned all claims of earlier holders, or its configuration is not
   * fresh.
   */
  record NotReady() implements ClaimVerdict {}

  /** The holder has reached its maximum number of claims. */
  record Full() implements ClaimVerdict {}
}
