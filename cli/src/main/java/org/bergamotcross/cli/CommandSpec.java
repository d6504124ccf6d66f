package org.bergamotcross.cli;

import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * Describes a command for parsing and for the help.
 *
 * @param name the words that select it
 * @param arguments its operands, as the help shows them
 * @param summary what it does, in one sentence
 * @param options its options
 * @param parser turns parsed options into the command
 */
record CommandSpec(
    String name,
    String arguments,
    String summary,
    Options options,
    Function<CommandLine, Command.Parsed> parser) {

  static Option option(String name, String argument, String description) {
    return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
  }

  static Command.Parsed wrong(String problem) {
    return new Command.Parsed.Wrong(problem);
  }

  static Command.Parsed ready(Command command) {
    return new Command.Parsed.Ready(command);
  }
}
