package org.bergamotcross.cli;

/** Runs one command of the command line; its arguments have been validated. */
sealed interface Command
    permits CheckCommand,
        ExplainCommand,
        NewKeyCommand,
        PublishCommand,
        StatusCommand,
        WithdrawCommand {

  /** Runs the command. */
  CommandResult run();

  /** The result of parsing the arguments of a command. */
  sealed interface ParseResult {

    /** Indicates that the arguments are valid. */
    record Valid(Command command) implements ParseResult {}

    /** Indicates invalid arguments; the problem names the argument and the expected value. */
    record Invalid(String problem) implements ParseResult {}
  }
}
