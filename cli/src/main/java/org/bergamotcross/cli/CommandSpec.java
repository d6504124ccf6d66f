package org.bergamotcross.cli;

import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * Describes a command for argument parsing and for the help text.
 *
 * @param name the words that select the command
 * @param operands the operands as shown in the help text
 * @param summary the purpose of the command in one sentence
 * @param options the options specific to the command
 * @param parser creates the command from the parsed command line
 */
record CommandSpec(
    String name,
    String operands,
    String summary,
    Options options,
    Function<CommandLine, Command.ParseResult> parser) {

  static Option option(String name, String argument, String description) {
    return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
  }

  static Command.ParseResult invalid(String problem) {
    return new Command.ParseResult.Invalid(problem);
  }

  static Command.ParseResult valid(Command command) {
    return new Command.ParseResult.Valid(command);
  }
}
