package org.bergamotcross.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Says what happened to a request, or why a target gets no work, from the logs of the instances.
 *
 * @param request the request id
 * @param target the target
 * @param logs log files and directories with files that end in {@code .log}
 */
record ExplainCommand(Optional<String> request, Optional<String> target, List<Path> logs)
    implements Command {
  static final CommandSpec SPEC =
      new CommandSpec(
          "explain",
          "[REQUEST-ID]",
          "Says what happened to a request, or why a target gets no work.",
          new Options()
              .addOption(
                  CommandSpec.option(
                      "logs", "path,...", "log files, or directories with files named *.log"))
              .addOption(CommandSpec.option("target", "id", "target to explain")),
          ExplainCommand::parse);

  private static final List<String> COLUMNS = List.of("time", "log", "event", "meaning");

  private static Command.Parsed parse(CommandLine line) {
    List<String> operands = line.getArgList();
    Optional<String> target = Optional.ofNullable(line.getOptionValue("target"));
    String logs = line.getOptionValue("logs", "");
    if (operands.size() > 1 || (operands.isEmpty() && target.isEmpty())) {
      return CommandSpec.wrong(
          "found " + operands.size() + " request ids; expected one, or --target ID");
    }
    if (logs.isEmpty()) {
      return CommandSpec.wrong("--logs is missing; give the log files of the instances");
    }
    List<Path> paths = new ArrayList<>();
    for (String path : logs.split(",", -1)) {
      paths.add(Path.of(path.strip()));
    }
    return CommandSpec.ready(
        new ExplainCommand(operands.stream().findFirst(), target, List.copyOf(paths)));
  }

  @Override
  public CommandResult run() {
    return switch (LogFiles.read(logs, this::concerns)) {
      case LogFiles.Result.Unreadable unreadable ->
          new CommandResult.Invalid(unreadable.problem(), Report.NONE);
      case LogFiles.Result.Read read when read.events().isEmpty() ->
          new CommandResult.Refused(
              "no event about this in "
                  + read.files()
                  + " log file(s); check the id, and give"
                  + " the logs of all instances",
              Report.NONE);
      case LogFiles.Result.Read read ->
          new CommandResult.Done(
              new Report(COLUMNS, read.events().stream().map(ExplainCommand::row).toList()));
    };
  }

  private boolean concerns(LogEvent event) {
    boolean ofRequest = request.filter(id -> event.has("request", id)).isPresent();
    // Events of single requests would hide the few events that change the state of a target.
    boolean ofTarget =
        target.filter(id -> event.has("target", id)).isPresent()
            && !event.values().containsKey("request");
    return ofRequest || ofTarget;
  }

  private static List<String> row(LogEvent event) {
    return List.of(event.time().toString(), event.source(), event.name(), EventSentence.of(event));
  }
}
