package org.bergamotcross.core.config;

import java.util.List;
import java.util.Optional;

/** The effect of a record on the folded state. */
public sealed interface FoldResult {

  /**
   * The record took effect.
   *
   * @param record the record
   */
  record Accepted(ControlRecord record) implements FoldResult {}

  /**
   * The edit was already accepted or refused at another offset; it has no effect here.
   *
   * @param first the first occurrence of the edit in the log
   */
  record Duplicate(EditReference first) implements FoldResult {}

  /**
   * The edit is refused because it was not based on the current version.
   *
   * @param winner the edit in force; empty when the path has none
   */
  record Conflict(Optional<EditReference> winner) implements FoldResult {}

  /**
   * The record is refused because of its content.
   *
   * @param problems the errors, at least one
   */
  record Invalid(List<String> problems) implements FoldResult {

    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /**
   * The state already agrees with the record, for example because a key is withdrawn again.
   *
   * @param record the record
   */
  record Unchanged(ControlRecord record) implements FoldResult {}

  /**
   * The offset is already folded; the record was not applied.
   *
   * @param offset the offset of the last folded record
   */
  record AlreadyFolded(long offset) implements FoldResult {}

  /**
   * Records before this one are missing; the record was not applied.
   *
   * @param expected the offset to fold next
   */
  record Gap(long expected) implements FoldResult {}
}
