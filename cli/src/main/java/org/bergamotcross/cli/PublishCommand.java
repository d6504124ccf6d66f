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
 * Publishes the settings of a team and reports the outcome.
 *
 * @param file the INI file
 * @param author the author of the edit
 * @param editId the edit id of an earlier publication with an unknown outcome; empty for a new edit
 * @param basedOn the version that the edit replaces; empty for the version in force
 * @param options the platform, the instances to wait for and the timeout
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
                      CommandSpec.option(
                          "author", "name", "author of the edit; default the current user"))
                  .addOption(
                      CommandSpec.option(
                          "edit-id", "id", "repeats a publication whose outcome is unknown"))
                  .addOption(
                      CommandSpec.option(
                          "based-on",
                          "offset",
                          "version that the edit replaces, -1 for none; default the one in force"))),
          PublishCommand::parse);

  private static Command.ParseResult parse(CommandLine line) {
    List<Path> files = TeamFile.fileOperand(line);
    if (files.isEmpty()) {
      return CommandSpec.invalid("found " + line.getArgList().size() + " files; expected one");
    }
    Optional<String> basedOn = Optional.ofNullable(line.getOptionValue("based-on"));
    if (basedOn.filter(text -> !text.matches("-1|\\d{1,18}")).isPresent()) {
      return CommandSpec.invalid(
          "--based-on: found \"" + basedOn.get() + "\"; expected an offset, or -1");
    }
    return switch (PlatformOptions.parse(line)) {
      case PlatformOptions.Result.Invalid invalid -> CommandSpec.invalid(invalid.problem());
      case PlatformOptions.Result.Valid valid ->
          CommandSpec.valid(
              new PublishCommand(
                  files.get(0),
                  line.getOptionValue("author", System.getProperty("user.name", "unknown")),
                  Optional.ofNullable(line.getOptionValue("edit-id")),
                  basedOn.map(Long::parseLong),
                  valid.options()));
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
    TimeLimit limit = TimeLimit.startingNow(options.timeout());
    try (PlatformLog log = new PlatformLog(options.platform())) {
      // The log is read only to find the version in force, which is not needed with --based-on.
      Optional<String> problem = basedOn.isPresent() ? Optional.empty() : log.readToHead(limit);
      if (problem.isPresent()) {
        return new CommandResult.Unreachable(
            "the log cannot be read (" + problem.get() + "); nothing was published", Report.EMPTY);
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
      return toCommandResult(edit, new EditPublisher(log, limit).publish(edit), limit);
    }
  }

  private CommandResult toCommandResult(
      ControlRecord.Edit edit, EditPublisher.Result result, TimeLimit limit) {
    return switch (result) {
      case EditPublisher.Result.Accepted accepted -> awaitRollout(edit, accepted.offset(), limit);
      case EditPublisher.Result.Conflict conflict ->
          new CommandResult.Refused(
              "the edit of "
                  + edit.path()
                  + " is not based on the version in force ("
                  + describeWinner(conflict.winner())
                  + "); merge its changes and publish again",
              resultRow(edit, "rejected", "-"));
      case EditPublisher.Result.Rejected rejected ->
          new CommandResult.Refused(
              "the edit was rejected: " + rejected.problem(), resultRow(edit, "rejected", "-"));
      case EditPublisher.Result.NotAppended notAppended ->
          new CommandResult.Unreachable(
              "the platform did not accept the append ("
                  + notAppended.reason()
                  + "); nothing was published",
              resultRow(edit, "not-published", "-"));
      case EditPublisher.Result.OutcomeUnknown unknown ->
          new CommandResult.OutcomeUnknown(
              "it is not known whether the edit was published ("
                  + unknown.reason()
                  + "); publish again with --edit-id "
                  + edit.editId()
                  + " --based-on "
                  + edit.basedOn(),
              resultRow(edit, "unknown", "-"));
    };
  }

  private CommandResult awaitRollout(ControlRecord.Edit edit, long offset, TimeLimit limit) {
    List<InetSocketAddress> missing = RolloutWaiter.awaitOffset(options.instances(), offset, limit);
    Report report = resultRow(edit, "accepted", "" + offset);
    return missing.isEmpty()
        ? new CommandResult.Succeeded(report)
        : new CommandResult.OutcomeUnknown(
            "the edit is accepted, but not yet reported by "
                + RolloutWaiter.formatAddresses(missing),
            report);
  }

  private static String describeWinner(Optional<EditReference> winner) {
    return winner
        .map(
            edit ->
                "edit " + edit.editId() + " by " + edit.author() + " at offset " + edit.offset())
        .orElse("the team has no settings in force");
  }

  private static Report resultRow(ControlRecord.Edit edit, String result, String offset) {
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
