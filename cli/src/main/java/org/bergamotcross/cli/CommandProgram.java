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

/** Selects a command by the arguments, runs it and writes its result. */
final class CommandProgram {
  private static final String NAME = "bergamotcross";
  private static final int INVALID_USAGE = 2;
  private static final List<CommandSpec> COMMANDS =
      List.of(
          CheckCommand.SPEC,
          PublishCommand.SPEC,
          WithdrawCommand.SPEC,
          StatusCommand.SPEC,
          ExplainCommand.SPEC,
          KeyNewCommand.SPEC);

  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates the program.
   *
   * @param out takes reports, help and the version
   * @param err takes problems
   */
  CommandProgram(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /**
   * Runs the command that the arguments name.
   *
   * @param arguments the arguments of the process
   * @return the exit code
   */
  int run(String... arguments) {
    if (arguments.length == 0) {
      return invalid("no command; see " + NAME + " --help");
    }
    return switch (arguments[0]) {
      case "--help", "-h" -> generalHelp();
      case "--version" -> version();
      default ->
          find(arguments)
              .map(spec -> run(spec, operands(spec, arguments)))
              .orElseGet(
                  () ->
                      invalid(
                          "found command \""
                              + arguments[0]
                              + "\"; expected one of "
                              + String.join(
                                  ", ", COMMANDS.stream().map(CommandSpec::name).toList())));
    };
  }

  private static Optional<CommandSpec> find(String... arguments) {
    String words = String.join(" ", arguments) + " ";
    return COMMANDS.stream().filter(spec -> words.startsWith(spec.name() + " ")).findFirst();
  }

  private static String[] operands(CommandSpec spec, String... arguments) {
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
      return invalid(spec.name() + ": " + e.getMessage() + "; see --help");
    }
    if (line.hasOption("help")) {
      return help(spec, options);
    }
    String name = line.getOptionValue("format", "table");
    Optional<OutputFormat> format = OutputFormat.of(name);
    if (format.isEmpty()) {
      return invalid("--format: found \"" + name + "\"; expected table or kv");
    }
    return switch (spec.parser().apply(line)) {
      case Command.Parsed.Wrong wrong -> invalid(spec.name() + ": " + wrong.problem());
      case Command.Parsed.Ready ready -> write(ready.command().run(), format.get());
    };
  }

  private int write(CommandResult result, OutputFormat format) {
    format.lines(result.report()).forEach(out::println);
    if (!result.problem().isEmpty()) {
      err.println(NAME + ": " + result.problem());
    }
    return result.exitCode();
  }

  private int invalid(String problem) {
    err.println(NAME + ": " + problem);
    return INVALID_USAGE;
  }

  private int version() {
    String version = CommandProgram.class.getPackage().getImplementationVersion();
    out.println(NAME + " " + Optional.ofNullable(version).orElse("development"));
    return 0;
  }

  private int generalHelp() {
    out.println("usage: " + NAME + " COMMAND [options]");
    out.println();
    COMMANDS.forEach(
        spec ->
            out.println(
                String.format("  %-22s %s", spec.name() + " " + spec.arguments(), spec.summary())));
    out.println();
    out.println("Each command has --help and --format table|kv. --version prints the version.");
    out.println("Exit codes: 0 done, 1 refused or conflict, 2 invalid usage or input,");
    out.println("3 platform or instance unreachable, 4 outcome unknown.");
    return 0;
  }

  private int help(CommandSpec spec, Options options) {
    try {
      HelpFormatter.builder()
          .setShowSince(false)
          .setHelpAppendable(new TextHelpAppendable(out))
          .get()
          .printHelp(
              NAME + " " + spec.name() + " " + spec.arguments(), spec.summary(), options, "", true);
      return 0;
    } catch (IOException e) {
      return invalid("can't print the help: " + e.getMessage());
    }
  }
}
