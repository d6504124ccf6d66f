package org.bergamotcross.cli;

/** A command with checked arguments. */
sealed interface Command
    permits CheckCommand,
        ExplainCommand,
        KeyNewCommand,
        PublishCommand,
        StatusCommand,
        WithdrawCommand {

  /** Runs the command. */
  CommandResult run();

  /** The result of reading the arguments of a command. */
  sealed interface Parsed {

    /** The arguments are right. */
    record Ready(Command command) implements Parsed {}

    /** The arguments are wrong; the problem names the argument and what would be right. */
    record Wrong(String problem) implements Parsed {}
  }
}
