package org.bergamotcross.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.bergamotcross.kernel.Setting;

/** Parses the command line of a stand-in and runs it until the process receives a signal. */
final class StandinMain {
  private static final int EXIT_INVALID_USAGE = 2;
  private static final int EXIT_CANNOT_START = 1;

  private StandinMain() {}

  /** Starts a stand-in from validated arguments and returns the address at which it listens. */
  interface Starter {
    InetSocketAddress start(InetSocketAddress address, CommandLine line);
  }

  static Option numberOption(String name, String argument, String description) {
    return Option.builder()
        .longOpt(name)
        .hasArg()
        .argName(argument)
        .type(Long.class)
        .desc(description)
        .get();
  }

  static long numberValue(CommandLine line, String name, long defaultValue) {
    return Optional.ofNullable(line.getOptionValue(name)).map(Long::parseLong).orElse(defaultValue);
  }

  /** Runs a stand-in until the process receives a signal; exits if it can't be started. */
  static void run(String program, Options options, String[] arguments, Starter starter) {
    int code = execute(program, options, arguments, starter);
    if (code != 0) {
      System.exit(code);
    }
  }

  private static int execute(String program, Options options, String[] arguments, Starter starter) {
    options.addOption(
        Option.builder()
            .longOpt("listen")
            .hasArg()
            .argName("ip:port")
            .desc("address to listen at; port 0, the default, selects a free port")
            .get());
    options.addOption(Option.builder("h").longOpt("help").desc("print this help").get());
    CommandLine line;
    try {
      line = new DefaultParser().parse(options, arguments);
    } catch (ParseException e) {
      System.err.println(program + ": " + e.getMessage() + "; see --help");
      return EXIT_INVALID_USAGE;
    }
    if (line.hasOption("help")) {
      return printHelp(program, options);
    }
    Optional<InetSocketAddress> address =
        Setting.parseAddress(line.getOptionValue("listen", "127.0.0.1:0"));
    Optional<String> problem = findInvalidArgument(line, address);
    if (problem.isPresent()) {
      System.err.println(program + ": " + problem.get() + "; see --help");
      return EXIT_INVALID_USAGE;
    }
    return runUntilSignal(program, address.orElseThrow(), line, starter);
  }

  private static Optional<String> findInvalidArgument(
      CommandLine line, Optional<InetSocketAddress> address) {
    for (Option option : line.getOptions()) {
      if (option.getType().equals(Long.class) && !option.getValue().matches("\\d{1,18}")) {
        return Optional.of(
            "--"
                + option.getLongOpt()
                + ": found \""
                + option.getValue()
                + "\"; expected a whole number from 0");
      }
    }
    return address.isPresent()
        ? Optional.empty()
        : Optional.of(
            "--listen: found \"" + line.getOptionValue("listen") + "\"; expected ip:port");
  }

  private static int runUntilSignal(
      String program, InetSocketAddress address, CommandLine line, Starter starter) {
    try {
      InetSocketAddress bound = starter.start(address, line);
      System.out.println(
          program + " address=" + bound.getAddress().getHostAddress() + ":" + bound.getPort());
      new CountDownLatch(1).await();
      return 0;
    } catch (IllegalStateException e) {
      System.err.println(program + ": cannot listen at " + address + ": " + e.getMessage());
      return EXIT_CANNOT_START;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  private static int printHelp(String program, Options options) {
    try {
      HelpFormatter.builder().setShowSince(false).get().printHelp(program, "", options, "", true);
      return 0;
    } catch (IOException e) {
      System.err.println(program + ": cannot print the help: " + e.getMessage());
      return EXIT_CANNOT_START;
    }
  }
}
