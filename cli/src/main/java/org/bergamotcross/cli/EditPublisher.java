package org.bergamotcross.cli;

import java.util.Optional;
import java.util.function.Supplier;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.core.config.EditReference;
import org.bergamotcross.core.config.FoldResult;
import org.bergamotcross.entry.platform.PlatformClient.AppendResult;

/**
 * Appends an edit until the log shows what became of it.
 *
 * <p>An append is repeated only under the same edit id, so that it takes effect at most once.
 */
final class EditPublisher {
  private final PlatformLog log;
  private final TimeLimit limit;

  EditPublisher(PlatformLog log, TimeLimit limit) {
    this.log = log;
    this.limit = limit;
  }

  /** What became of an edit. */
  sealed interface Result {

    /** The edit is in force from this offset on. */
    record Accepted(long offset) implements Result {}

    /** Another edit won; nothing when the path has none in force. */
    record Conflict(Optional<EditReference> winner) implements Result {}

    /** The log refused the edit for what it holds. */
    record Rejected(String problem) implements Result {}

    /** The edit is not in the log and won't be. */
    record NotAppended(String reason) implements Result {}

    /** The edit may be in the log. */
    record Unknown(String reason) implements Result {}
  }

  Result publish(ControlRecord.Edit edit) {
    // Set once an append may have arrived; from then on only the log can say what became of it.
    Optional<String> uncertain = Optional.empty();
    String reason = "no time left";
    do {
      Optional<FoldResult> judgement = log.judgement(edit.editId());
      if (judgement.isPresent()) {
        return result(edit, judgement.get());
      }
      switch (log.append(edit)) {
        case AppendResult.Appended appended ->
            uncertain =
                Optional.of(
                    "the log can't be read after the append at offset " + appended.offset());
        case AppendResult.OutcomeUnknown unknown -> uncertain = Optional.of(unknown.reason());
        case AppendResult.Unavailable unavailable -> reason = unavailable.reason();
        case AppendResult.Refused refused -> {
          return uncertain
              .<Result>map(Result.Unknown::new)
              .orElseGet(() -> new Result.Rejected("the platform refused: " + refused.reason()));
        }
      }
      if (uncertain.isPresent()) {
        uncertain = log.readToHead(limit).or(asBefore(uncertain));
      }
    } while (log.judgement(edit.editId()).isPresent() || limit.pause());
    String last = reason;
    return uncertain.<Result>map(Result.Unknown::new).orElseGet(() -> new Result.NotAppended(last));
  }

  private static Supplier<Optional<String>> asBefore(Optional<String> uncertain) {
    return () -> uncertain;
  }

  private Result result(ControlRecord.Edit edit, FoldResult judgement) {
    return switch (judgement) {
      case FoldResult.Accepted ignored -> new Result.Accepted(inForce(edit));
      case FoldResult.Conflict conflict -> new Result.Conflict(conflict.winner());
      case FoldResult.Invalid invalid -> new Result.Rejected(String.join("; ", invalid.problems()));
      // The first place of the edit is before the snapshot that this reader started from.
      case FoldResult.Duplicate duplicate when inForce(edit) == duplicate.first().offset() ->
          new Result.Accepted(duplicate.first().offset());
      case FoldResult.Duplicate duplicate ->
          new Result.Rejected(
              "the edit was judged at offset "
                  + duplicate.first().offset()
                  + " and is not in force");
      case FoldResult.Unchanged ignored -> new Result.Accepted(inForce(edit));
      case FoldResult.AlreadyKnown ignored -> new Result.Unknown("the log was read twice");
      case FoldResult.Gap ignored -> new Result.Unknown("records of the log are missing");
    };
  }

  private long inForce(ControlRecord.Edit edit) {
    String team = edit.path().substring(edit.path().lastIndexOf('/') + 1);
    return log.fold().versions().getOrDefault(team, -1L);
  }
}
