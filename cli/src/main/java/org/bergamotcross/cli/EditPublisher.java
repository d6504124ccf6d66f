package org.bergamotcross.cli;

import java.util.Optional;
import java.util.function.Supplier;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.core.config.EditReference;
import org.bergamotcross.core.config.FoldResult;
import org.bergamotcross.entry.platform.PlatformClient.AppendResult;

/**
 * Appends an edit to the log, retrying until the log shows its outcome.
 *
 * <p>Retries use the same edit id, so that the edit takes effect at most once.
 */
final class EditPublisher {
  private final PlatformLog log;
  private final TimeLimit limit;

  EditPublisher(PlatformLog log, TimeLimit limit) {
    this.log = log;
    this.limit = limit;
  }

  /** The outcome of publishing an edit. */
  sealed interface Result {

    /** The edit is in force as of this offset. */
    record Accepted(long offset) implements Result {}

    /** A conflicting edit is in force; the winner is empty if the path has no edit in force. */
    record Conflict(Optional<EditReference> winner) implements Result {}

    /** The platform refused the append, or the edit was rejected when it was read from the log. */
    record Rejected(String problem) implements Result {}

    /** The edit is not in the log and won't be added by this publication. */
    record NotAppended(String reason) implements Result {}

    /** The edit may be in the log. */
    record OutcomeUnknown(String reason) implements Result {}
  }

  Result publish(ControlRecord.Edit edit) {
    // Set once an append may have reached the log; from then on only the log shows the outcome.
    Optional<String> unknownReason = Optional.empty();
    String unavailableReason = "no time left";
    do {
      Optional<FoldResult> decision = log.decision(edit.editId());
      if (decision.isPresent()) {
        return toResult(edit, decision.get());
      }
      switch (log.append(edit)) {
        case AppendResult.Appended appended ->
            unknownReason =
                Optional.of(
                    "the log cannot be read after the append at offset " + appended.offset());
        case AppendResult.OutcomeUnknown unknown -> unknownReason = Optional.of(unknown.reason());
        case AppendResult.Unavailable unavailable -> unavailableReason = unavailable.reason();
        case AppendResult.Refused refused -> {
          return unknownReason
              .<Result>map(Result.OutcomeUnknown::new)
              .orElseGet(
                  () ->
                      new Result.Rejected("the platform refused the append: " + refused.reason()));
        }
      }
      if (unknownReason.isPresent()) {
        unknownReason = log.readToHead(limit).or(supplierOf(unknownReason));
      }
    } while (log.decision(edit.editId()).isPresent() || limit.pauseBeforeRetry());
    String finalReason = unavailableReason;
    return unknownReason
        .<Result>map(Result.OutcomeUnknown::new)
        .orElseGet(() -> new Result.NotAppended(finalReason));
  }

  private static Supplier<Optional<String>> supplierOf(Optional<String> unknownReason) {
    return () -> unknownReason;
  }

  private Result toResult(ControlRecord.Edit edit, FoldResult decision) {
    return switch (decision) {
      case FoldResult.Accepted ignored -> new Result.Accepted(activeVersion(edit));
      case FoldResult.Conflict conflict -> new Result.Conflict(conflict.winner());
      case FoldResult.Invalid invalid -> new Result.Rejected(String.join("; ", invalid.problems()));
      // The edit first appears before the snapshot from which this reader started.
      case FoldResult.Duplicate duplicate when activeVersion(edit) == duplicate.first().offset() ->
          new Result.Accepted(duplicate.first().offset());
      case FoldResult.Duplicate duplicate ->
          new Result.Rejected(
              "the edit was already decided at offset "
                  + duplicate.first().offset()
                  + " and is not in force");
      case FoldResult.Unchanged ignored -> new Result.Accepted(activeVersion(edit));
      case FoldResult.AlreadyFolded ignored ->
          new Result.OutcomeUnknown("a record of the log was read twice");
      case FoldResult.Gap ignored -> new Result.OutcomeUnknown("records of the log are missing");
    };
  }

  private long activeVersion(ControlRecord.Edit edit) {
    String team = edit.path().substring(edit.path().lastIndexOf('/') + 1);
    return log.fold().versions().getOrDefault(team, -1L);
  }
}
