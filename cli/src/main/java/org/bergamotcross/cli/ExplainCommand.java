package org.bergamotcross.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Explains from the logs of the instances what happened to a request, or why a target gets no work.
 *
 * @param request the id of the request to explain
 * @param target the id of the target to explain
 * @param logs log files, and directories whose files ending in {@code .log} are read
 */
record ExplainCommand(Optional<String> request, Optional<String> target, List<Path> logs)
    implements Command {
  static final CommandSpec SPEC =
      new CommandSpec(
          "explain",
          "[REQUEST-ID]",
          "Explains what happened to a request, or why a target gets no work.",
          new Options()
              .addOption(
                  CommandSpec.option(
                      "logs", "path,...", "log files, or directories with files named *.log"))
              .addOption(CommandSpec.option("target", "id", "target to explain")),
          ExplainCommand::parse);

  private static final List<String> COLUMNS = List.of("time", "log", "event", "meaning");

  private static Command.ParseResult parse(CommandLine line) {
    List<String> operands = line.getArgList();
    Optional<String> target = Optional.ofNullable(line.getOptionValue("target"));
    String logs = line.getOptionValue("logs", "");
    if (operands.size() > 1 || (operands.isEmpty() && target.isEmpty())) {
      return CommandSpec.invalid(
          "found " + operands.size() + " request ids; expected one, or --target ID");
    }
    if (logs.isEmpty()) {
      return CommandSpec.invalid("--logs is missing; give the log files of the instances");
    }
    List<Path> paths = new ArrayList<>();
    for (String path : logs.split(",", -1)) {
      paths.add(Path.of(path.strip()));
    }
    return CommandSpec.valid(
        new ExplainCommand(operands.stream().findFirst(), target, List.copyOf(paths)));
  }

  @Override
  public CommandResult run() {
    return switch (LogFiles.read(logs, this::matches)) {
      case LogFiles.Result.Unreadable unreadable ->
          new CommandResult.Invalid(unreadable.problem(), Report.EMPTY);
      case LogFiles.Result.Loaded loaded when loaded.events().isEmpty() ->
          new CommandResult.Refused(
              "no event about this in "
                  + loaded.fileCount()
                  + " log file(s); check the id, and give"
                  + " the logs of all instances",
              Report.EMPTY);
      case LogFiles.Result.Loaded loaded ->
          new CommandResult.Succeeded(
              new Report(COLUMNS, loaded.events().stream().map(ExplainCommand::toRow).toList()));
    };
  }

  private boolean matches(LogEvent event) {
    boolean ofRequest = request.filter(id -> event.has("request", id)).isPresent();
    // Events of single requests are omitted, because they would hide the few events that change the
    // state of a target.
    boolean ofTarget =
        target.filter(id -> event.has("target", id)).isPresent()
            && !event.values().containsKey("request");
    return ofRequest || ofTarget;
  }

  private static List<String> toRow(LogEvent event) {
    return List.of(
        event.time().toString(), event.source(), event.name(), EventDescription.of(event));
  }
}
