package org.bergamotcross.cli;

/** How a command ended. */
sealed interface CommandResult {

  /** Returns what was found or done. */
  Report report();

  /** Returns the exit code of the process. */
  default int exitCode() {
    return switch (this) {
      case Done ignored -> 0;
      case Refused ignored -> 1;
      case Invalid ignored -> 2;
      case Unreachable ignored -> 3;
      case Unknown ignored -> 4;
    };
  }

  /** Returns what went wrong and what to do, empty when nothing did. */
  default String problem() {
    return switch (this) {
      case Done ignored -> "";
      case Refused refused -> refused.reason();
      case Invalid invalid -> invalid.reason();
      case Unreachable unreachable -> unreachable.reason();
      case Unknown unknown -> unknown.reason();
    };
  }

  /** The command did what it was asked to do. */
  record Done(Report report) implements CommandResult {}

  /** The edit was refused, for example because another one won. */
  record Refused(String reason, Report report) implements CommandResult {}

  /** The arguments or the input can't be used. */
  record Invalid(String reason, Report report) implements CommandResult {}

  /** The platform or an instance gave no answer; nothing was changed. */
  record Unreachable(String reason, Report report) implements CommandResult {}

  /** The change may or may not have been made. */
  record Unknown(String reason, Report report) implements CommandResult {}
}
