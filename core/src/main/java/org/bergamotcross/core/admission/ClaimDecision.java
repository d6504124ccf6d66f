package org.bergamotcross.core.admission;

/** What the holders' answers mean for a request. */
public sealed interface ClaimDecision {

  /** The request may be sent to a target, before its deadline. */
  record Send() implements ClaimDecision {}

  /**
   * Another attempt has run; its answer is returned.
   *
   * @param answer the answer
   */
  record AnswerStored(StoredAnswer answer) implements ClaimDecision {}

  /**
   * The request must not be sent.
   *
   * @param refusal why
   */
  record Refuse(Refusal refusal) implements ClaimDecision {}
}
