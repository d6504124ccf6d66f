package org.bergamotcross.bench;

/** What happens to an attempt at a target. */
sealed interface Effect {

  /** The target takes longer by a factor. */
  record Slow(double factor) implements Effect {}

  /** The target answers with 503 after the usual time. */
  record Failure() implements Effect {}

  /** Nothing comes back until the fault is over. */
  record Stall() implements Effect {}

  /** The attempt or its answer is lost; nothing ever comes back. */
  record Lost() implements Effect {}
}
