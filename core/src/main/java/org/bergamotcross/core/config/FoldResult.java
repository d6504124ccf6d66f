package org.bergamotcross.core.config;

import java.util.List;
import java.util.Optional;

/** What a record did to the folded state. */
public sealed interface FoldResult {

  /**
   * The record took effect.
   *
   * @param record the record
   */
  record Accepted(ControlRecord record) implements FoldResult {}

  /**
   * The edit was judged before, at another offset; it has no effect here.
   *
   * @param first where the edit stands first in the log
   */
  record Duplicate(EditReference first) implements FoldResult {}

  /**
   * The edit was based on another version than the current one and is refused.
   *
   * @param winner the edit that is in force, or nothing when the path has none
   */
  record Conflict(Optional<EditReference> winner) implements FoldResult {}

  /**
   * The record is refused because of what it holds.
   *
   * @param problems what is wrong, at least one
   */
  record Invalid(List<String> problems) implements FoldResult {

    /** Copies the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /**
   * The record agrees with the state already, for example a second withdrawal of a key.
   *
   * @param record the record
   */
  record Unchanged(ControlRecord record) implements FoldResult {}

  /**
   * The offset was folded before; nothing happened.
   *
   * @param offset the offset up to which the state is folded
   */
  record AlreadyKnown(long offset) implements FoldResult {}

  /**
   * Records before this one are missing; nothing happened.
   *
   * @param expected the offset that has to be folded next
   */
  record Gap(long expected) implements FoldResult {}
}
