package org.bergamotcross.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;

/** Selects a command by its name, runs it and prints its result. */
final class CommandProgram {
  private static final String PROGRAM_NAME = "bergamotcross";
  private static final int INVALID_USAGE_EXIT_CODE = 2;
  private static final List<CommandSpec> COMMANDS =
      List.of(
          CheckCommand.SPEC,
          PublishCommand.SPEC,
          WithdrawCommand.SPEC,
          StatusCommand.SPEC,
          ExplainCommand.SPEC,
          NewKeyCommand.SPEC);

  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates the program.
   *
   * @param out the stream for reports, help and the version
   * @param err the stream for error messages
   */
  CommandProgram(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /**
   * Runs the command named by the first arguments.
   *
   * @param arguments the command-line arguments
   * @return the exit code
   */
  int run(String... arguments) {
    if (arguments.length == 0) {
      return reportInvalidUsage("no command; see " + PROGRAM_NAME + " --help");
    }
    return switch (arguments[0]) {
      case "--help", "-h" -> printGeneralHelp();
      case "--version" -> printVersion();
      default ->
          findCommand(arguments)
              .map(spec -> run(spec, argumentsAfterName(spec, arguments)))
              .orElseGet(
                  () ->
                      reportInvalidUsage(
                          "found command \""
                              + arguments[0]
                              + "\"; expected one of "
                              + String.join(
                                  ", ", COMMANDS.stream().map(CommandSpec::name).toList())));
    };
  }

  private static Optional<CommandSpec> findCommand(String... arguments) {
    String words = String.join(" ", arguments) + " ";
    return COMMANDS.stream().filter(spec -> words.startsWith(spec.name() + " ")).findFirst();
  }

  private static String[] argumentsAfterName(CommandSpec spec, String... arguments) {
    int words = spec.name().split(" ", -1).length;
    return Arrays.copyOfRange(arguments, words, arguments.length);
  }

  private int run(CommandSpec spec, String... arguments) {
    Options options = new Options();
    spec.options().getOptions().forEach(options::addOption);
    options.addOption(CommandSpec.option("format", "table|kv", "output format; default table"));
    options.addOption(Option.builder("h").longOpt("help").desc("print this help").get());
    CommandLine line;
    try {
      line = new DefaultParser().parse(options, arguments);
    } catch (ParseException e) {
      return reportInvalidUsage(spec.name() + ": " + e.getMessage() + "; see --help");
    }
    if (line.hasOption("help")) {
      return printCommandHelp(spec, options);
    }
    String name = line.getOptionValue("format", "table");
    Optional<OutputFormat> format = OutputFormat.of(name);
    if (format.isEmpty()) {
      return reportInvalidUsage("--format: found \"" + name + "\"; expected table or kv");
    }
    return switch (spec.parser().apply(line)) {
      case Command.ParseResult.Invalid invalid ->
          reportInvalidUsage(spec.name() + ": " + invalid.problem());
      case Command.ParseResult.Valid valid -> writeResult(valid.command().run(), format.get());
    };
  }

  private int writeResult(CommandResult result, OutputFormat format) {
    format.format(result.report()).forEach(out::println);
    if (!result.problem().isEmpty()) {
      err.println(PROGRAM_NAME + ": " + result.problem());
    }
    return result.exitCode();
  }

  private int reportInvalidUsage(String problem) {
    err.println(PROGRAM_NAME + ": " + problem);
    return INVALID_USAGE_EXIT_CODE;
  }

  private int printVersion() {
    String version = CommandProgram.class.getPackage().getImplementationVersion();
    out.println(PROGRAM_NAME + " " + Optional.ofNullable(version).orElse("development"));
    return 0;
  }

  private int printGeneralHelp() {
    out.println("usage: " + PROGRAM_NAME + " COMMAND [options]");
    out.println();
    COMMANDS.forEach(
        spec ->
            out.println(
                String.format("  %-22s %s", spec.name() + " " + spec.operands(), spec.summary())));
    out.println();
    out.println("Each command has --help and --format table|kv. --version prints the version.");
    out.println("Exit codes: 0 done, 1 refused or conflict, 2 invalid usage or input,");
    out.println("3 platform or instance unreachable, 4 outcome unknown.");
    return 0;
  }

  private int printCommandHelp(CommandSpec spec, Options options) {
    try {
      HelpFormatter.builder()
          .setShowSince(false)
          .setHelpAppendable(new TextHelpAppendable(out))
          .get()
          .printHelp(
              PROGRAM_NAME + " " + spec.name() + " " + spec.operands(),
              spec.summary(),
              options,
              "",
              true);
      return 0;
    } catch (IOException e) {
      return reportInvalidUsage("cannot print the help: " + e.getMessage());
    }
  }
}
