package org.bergamotcross.cli;

import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.bergamotcross.core.config.TeamSettings;

/**
 * Validates the settings of a team without publishing them.
 *
 * @param file the INI file
 */
record CheckCommand(Path file) implements Command {
  static final CommandSpec SPEC =
      new CommandSpec(
          "check",
          "FILE",
          "Checks the settings of a team and reports all problems, without contacting the platform.",
          new Options(),
          CheckCommand::parse);

  private static Command.ParseResult parse(CommandLine line) {
    List<Path> files = TeamFile.fileOperand(line);
    return files.isEmpty()
        ? CommandSpec.invalid("found " + line.getArgList().size() + " files; expected one")
        : CommandSpec.valid(new CheckCommand(files.get(0)));
  }

  @Override
  public CommandResult run() {
    return switch (TeamFile.read(file)) {
      case TeamFile.Result.Invalid invalid -> invalid.result();
      case TeamFile.Result.Valid valid -> new CommandResult.Succeeded(summary(valid.settings()));
    };
  }

  private static Report summary(TeamSettings settings) {
    int targets = settings.pools().stream().mapToInt(pool -> pool.targets().size()).sum();
    return Report.ofPairs(
        "team",
        settings.team(),
        "organisations",
        "" + settings.organisations().size(),
        "keys",
        "" + settings.keys().size(),
        "pools",
        "" + settings.pools().size(),
        "targets",
        "" + targets,
        "routes",
        "" + settings.routes().size());
  }
}
