package org.bergamotcross.cli;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.core.config.EditReference;

/**
 * Publishes the settings of a team and reports what became of the edit.
 *
 * @param file the INI file
 * @param author who publishes
 * @param editId the id of the edit, for repeating a publication whose outcome is unknown
 * @param basedOn the version that the edit replaces; nothing for the one in force
 * @param options where and how long
 */
record PublishCommand(
    Path file,
    String author,
    Optional<String> editId,
    Optional<Long> basedOn,
    PlatformOptions options)
    implements Command {
  static final CommandSpec SPEC =
      new CommandSpec(
          "publish",
          "FILE",
          "Publishes the settings of a team and reports whether they were accepted.",
          PlatformOptions.addTo(
              new Options()
                  .addOption(
                      CommandSpec.option("author", "name", "who publishes; default the user"))
                  .addOption(
                      CommandSpec.option(
                          "edit-id", "id", "repeats a publication whose outcome is unknown"))
                  .addOption(
                      CommandSpec.option(
                          "based-on",
                          "offset",
                          "version that the edit replaces, -1 for none; default the one in force"))),
          PublishCommand::parse);

  private static Command.Parsed parse(CommandLine line) {
    List<Path> files = TeamFile.operand(line);
    if (files.isEmpty()) {
      return CommandSpec.wrong("found " + line.getArgList().size() + " files; expected one");
    }
    Optional<String> basedOn = Optional.ofNullable(line.getOptionValue("based-on"));
    if (basedOn.filter(text -> !text.matches("-1|\\d{1,18}")).isPresent()) {
      return CommandSpec.wrong(
          "--based-on: found \"" + basedOn.get() + "\"; expected an offset, or -1");
    }
    return switch (PlatformOptions.read(line)) {
      case PlatformOptions.Result.Wrong wrong -> CommandSpec.wrong(wrong.problem());
      case PlatformOptions.Result.Read read ->
          CommandSpec.ready(
              new PublishCommand(
                  files.get(0),
                  line.getOptionValue("author", System.getProperty("user.name", "unknown")),
                  Optional.ofNullable(line.getOptionValue("edit-id")),
                  basedOn.map(Long::parseLong),
                  read.options()));
    };
  }

  @Override
  public CommandResult run() {
    return switch (TeamFile.read(file)) {
      case TeamFile.Result.Invalid invalid -> invalid.result();
      case TeamFile.Result.Valid valid -> publish(valid);
    };
  }

  private CommandResult publish(TeamFile.Result.Valid valid) {
    TimeLimit limit = TimeLimit.in(options.limit());
    try (PlatformLog log = new PlatformLog(options.platform())) {
      // With a given version nothing is needed from the log before the append.
      Optional<String> problem = basedOn.isPresent() ? Optional.empty() : log.readToHead(limit);
      if (problem.isPresent()) {
        return new CommandResult.Unreachable(
            "the log can't be read (" + problem.get() + "); nothing was published", Report.NONE);
      }
      String team = valid.settings().team();
      long version = basedOn.orElseGet(() -> log.fold().versions().getOrDefault(team, -1L));
      ControlRecord.Edit edit =
          new ControlRecord.Edit(
              editId.orElseGet(() -> UUID.randomUUID().toString()),
              "/teams/" + team,
              version,
              author,
              valid.content());
      return report(edit, new EditPublisher(log, limit).publish(edit), limit);
    }
  }

  private CommandResult report(
      ControlRecord.Edit edit, EditPublisher.Result result, TimeLimit limit) {
    return switch (result) {
      case EditPublisher.Result.Accepted accepted -> accepted(edit, accepted.offset(), limit);
      case EditPublisher.Result.Conflict conflict ->
          new CommandResult.Refused(
              "another edit of "
                  + edit.path()
                  + " won ("
                  + winner(conflict.winner())
                  + "); take over its changes and publish again",
              row(edit, "rejected", "-"));
      case EditPublisher.Result.Rejected rejected ->
          new CommandResult.Refused(
              "the edit was rejected: " + rejected.problem(), row(edit, "rejected", "-"));
      case EditPublisher.Result.NotAppended not ->
          new CommandResult.Unreachable(
              "the log took no append (" + not.reason() + "); nothing was published",
              row(edit, "not-published", "-"));
      case EditPublisher.Result.Unknown unknown ->
          new CommandResult.Unknown(
              "it is not known whether the edit was published ("
                  + unknown.reason()
                  + "); publish again with --edit-id "
                  + edit.editId()
                  + " --based-on "
                  + edit.basedOn(),
              row(edit, "unknown", "-"));
    };
  }

  private CommandResult accepted(ControlRecord.Edit edit, long offset, TimeLimit limit) {
    List<InetSocketAddress> missing = RolloutWait.missing(options.instances(), offset, limit);
    Report report = row(edit, "accepted", "" + offset);
    return missing.isEmpty()
        ? new CommandResult.Done(report)
        : new CommandResult.Unknown(
            "the edit is accepted, but not yet reported by " + RolloutWait.names(missing), report);
  }

  private static String winner(Optional<EditReference> winner) {
    return winner
        .map(w -> "edit " + w.editId() + " by " + w.author() + " at offset " + w.offset())
        .orElse("the team has no settings in force");
  }

  private static Report row(ControlRecord.Edit edit, String result, String offset) {
    return Report.ofPairs(
        "path",
        edit.path(),
        "result",
        result,
        "offset",
        offset,
        "edit",
        edit.editId(),
        "based-on",
        "" + edit.basedOn());
  }
}
