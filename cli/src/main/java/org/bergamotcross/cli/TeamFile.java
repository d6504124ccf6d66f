package org.bergamotcross.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.entry.platform.TeamSettingsParser;
import org.bergamotcross.kernel.SettingProblem;

/** Reads and validates the settings of a team from a file. */
final class TeamFile {
  private TeamFile() {}

  /** The result of reading the file. */
  sealed interface Result {

    /** Holds the content of a valid file. */
    record Valid(String content, TeamSettings settings) implements Result {}

    /** Indicates that the file is unreadable or invalid. */
    record Invalid(CommandResult result) implements Result {}
  }

  static Result read(Path file) {
    String content;
    try {
      content = Files.readString(file);
    } catch (IOException e) {
      String problem = "cannot read \"" + file + "\" (" + e + "); expected an INI file";
      return new Result.Invalid(new CommandResult.Invalid(problem, Report.EMPTY));
    }
    return switch (TeamSettingsParser.parse(file.toString(), content)) {
      case TeamSettingsParser.Result.Valid valid -> new Result.Valid(content, valid.settings());
      case TeamSettingsParser.Result.Invalid invalid ->
          new Result.Invalid(invalidSettings(file, invalid.problems()));
    };
  }

  private static CommandResult invalidSettings(Path file, List<SettingProblem> problems) {
    return new CommandResult.Invalid(
        file + " has " + problems.size() + " problem(s); nothing was published",
        Report.ofLines("problem", problems.stream().map(SettingProblem::toString).toList()));
  }

  /** Returns the single file operand; the list is empty unless there is exactly one operand. */
  static List<Path> fileOperand(CommandLine line) {
    return line.getArgList().size() == 1 ? List.of(Path.of(line.getArgList().get(0))) : List.of();
  }
}
