package org.bergamotcross.cli;

/** The result of running a command; it determines the exit code. */
sealed interface CommandResult {

  /** Returns the report to print to standard output. */
  Report report();

  /** Returns the exit code of the process. */
  default int exitCode() {
    return switch (this) {
      case Succeeded ignored -> 0;
      case Refused ignored -> 1;
      case Invalid ignored -> 2;
      case Unreachable ignored -> 3;
      case OutcomeUnknown ignored -> 4;
    };
  }

  /** Returns the error message and how to proceed, or an empty string if the command succeeded. */
  default String problem() {
    return switch (this) {
      case Succeeded ignored -> "";
      case Refused refused -> refused.reason();
      case Invalid invalid -> invalid.reason();
      case Unreachable unreachable -> unreachable.reason();
      case OutcomeUnknown unknown -> unknown.reason();
    };
  }

  /** The command completed. */
  record Succeeded(Report report) implements CommandResult {}

  /** The command was refused, for example because of a conflicting edit. */
  record Refused(String reason, Report report) implements CommandResult {}

  /** The arguments or the input are invalid. */
  record Invalid(String reason, Report report) implements CommandResult {}

  /** The platform or an instance did not respond; nothing was changed. */
  record Unreachable(String reason, Report report) implements CommandResult {}

  /** The change may or may not have been made, or its rollout has not been confirmed. */
  record OutcomeUnknown(String reason, Report report) implements CommandResult {}
}
