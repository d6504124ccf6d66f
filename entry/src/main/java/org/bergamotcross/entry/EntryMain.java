package org.bergamotcross.entry;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bergamotcross.kernel.Kernel;
import org.bergamotcross.kernel.Logging;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginStartException;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.SettingsResult;
import org.bergamotcross.kernel.TimeSource;

/**
 * Runs the daemon of an entry instance.
 *
 * <pre>{@code
 * java -cp ... org.bergamotcross.entry.EntryMain --settings entry.ini
 * }</pre>
 */
public final class EntryMain {
  /**
   * The exit code after a graceful shutdown without cut requests, and after a check without
   * problems.
   */
  static final int EXIT_SUCCESS = 0;

  /**
   * The exit code when a plug-in fails to start, for example because a listener can't be opened, or
   * when the shutdown had to cut requests.
   */
  static final int EXIT_FAILURE = 1;

  /** The exit code for an invalid command line or invalid settings. */
  static final int EXIT_INVALID_USAGE = 2;

  private static final Option SETTINGS =
      Option.builder()
          .longOpt("settings")
          .hasArg()
          .argName("FILE")
          .desc("read the settings of the instance from this INI file")
          .get();
  private static final Option CHECK =
      Option.builder().longOpt("check").desc("check the settings and exit").get();
  private static final Option HELP =
      Option.builder().longOpt("help").desc("print this help and exit").get();
  private static final Option VERSION =
      Option.builder().longOpt("version").desc("print the version and exit").get();
  private static final Options OPTIONS =
      new Options().addOption(SETTINGS).addOption(CHECK).addOption(HELP).addOption(VERSION);

  private final PrintWriter out;
  private final PrintWriter err;

  private EntryMain(PrintWriter out, PrintWriter err) {
    this.out = out;
    this.err = err;
  }

  /**
   * Runs an entry instance until it receives a termination signal.
   *
   * @param arguments the command line; see {@code --help}
   */
  public static void main(String[] arguments) {
    PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
    PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
    System.exit(run(arguments, out, err));
  }

  /**
   * Runs the command.
   *
   * @param arguments the command line
   * @param out the writer for results
   * @param err the writer for error messages
   * @return the exit code
   */
  static int run(String[] arguments, PrintWriter out, PrintWriter err) {
    return new EntryMain(out, err).run(arguments);
  }

  private int run(String[] arguments) {
    CommandLine line;
    try {
      line = new DefaultParser().parse(OPTIONS, arguments);
    } catch (ParseException e) {
      return usage(e.getMessage());
    }
    if (!line.getArgList().isEmpty()) {
      return usage("unexpected argument " + line.getArgList().getFirst());
    }
    if (line.hasOption(HELP)) {
      return help();
    }
    if (line.hasOption(VERSION)) {
      out.println("bergamotcross-entry " + version());
      return EXIT_SUCCESS;
    }
    return Optional.ofNullable(line.getOptionValue(SETTINGS))
        .map(file -> start(Path.of(file), line.hasOption(CHECK)))
        .orElseGet(() -> usage("--settings FILE is missing"));
  }

  private int start(Path file, boolean checkOnly) {
    List<Plugin> plugins = Kernel.discoverPlugins();
    SettingsResult result =
        Settings.read(file, Kernel.settingsOf(plugins), Kernel.rulesOf(plugins));
    return switch (result) {
      case SettingsResult.Rejected rejected -> {
        rejected.problems().forEach(err::println);
        yield EXIT_INVALID_USAGE;
      }
      case SettingsResult.Loaded loaded -> {
        if (checkOnly) {
          out.println(file + ": no problems");
          yield EXIT_SUCCESS;
        }
        yield serve(file, plugins, new Kernel(plugins, loaded.settings(), TimeSource.system()));
      }
    };
  }

  private int serve(Path file, List<Plugin> plugins, Kernel kernel) {
    Logging.configure();
    GracefulShutdown stop = new GracefulShutdown(kernel.context());
    Signals.onStop(stop::signal);
    SettingsWatcher watcher =
        kernel
            .context()
            .closer()
            .register("settings-watch", new SettingsWatcher(file, plugins, kernel.context()));
    Signals.onReload(watcher::requestReload);
    try {
      kernel.start();
    } catch (PluginStartException e) {
      err.println(e.getMessage());
      return EXIT_FAILURE;
    }
    boolean clean = stop.await();
    kernel.close();
    return clean ? EXIT_SUCCESS : EXIT_FAILURE;
  }

  private int usage(String problem) {
    err.println(problem + "; see --help");
    return EXIT_INVALID_USAGE;
  }

  private int help() {
    out.println("usage: entry --settings FILE [--check]");
    OPTIONS
        .getOptions()
        .forEach(
            option ->
                out.printf(
                    "  %-18s %s%n",
                    "--" + option.getLongOpt() + (option.hasArg() ? " " + option.getArgName() : ""),
                    option.getDescription()));
    out.println("exit codes: 0 stopped or checked, 1 could not start or cut requests, 2 invalid");
    return EXIT_SUCCESS;
  }

  private static String version() {
    return Optional.ofNullable(EntryMain.class.getPackage().getImplementationVersion())
        .orElse("0.1.0-SNAPSHOT");
  }
}
