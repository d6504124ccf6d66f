package org.bergamotcross.core.admission;

import java.util.Optional;

/** What a holder says to a {@link ClaimAsk}. */
public sealed interface ClaimVerdict {

  /** The attempt is recorded as the only one. */
  record Granted() implements ClaimVerdict {}

  /**
   * Another attempt is recorded, or this one has ended.
   *
   * @param state how far that attempt has come
   * @param answer the answer to it, when it is kept
   */
  record Exists(ClaimState state, Optional<StoredAnswer> answer) implements ClaimVerdict {}

  /** The holder is at another epoch than the ask. */
  record WrongEpoch() implements ClaimVerdict {}

  /** The holder does not know yet all claims of earlier holders, or is not fresh. */
  record NotReady() implements ClaimVerdict {}

  /** The holder has no room for another claim. */
  record Full() implements ClaimVerdict {}
}
