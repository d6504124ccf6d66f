package org.bergamotcross.cli;

import java.net.InetSocketAddress;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Shows what each instance has in force.
 *
 * @param instances the operations ports
 */
record StatusCommand(List<InetSocketAddress> instances) implements Command {
  static final CommandSpec SPEC =
      new CommandSpec(
          "status",
          "",
          "Shows which configuration each instance has in force, and which ones are behind.",
          new Options().addOption(Addresses.instancesOption()),
          StatusCommand::parse);

  private static final List<String> COLUMNS =
      List.of(
          "instance",
          "address",
          "failure-domain",
          "offset",
          "epoch",
          "members",
          "fresh",
          "open",
          "state");

  private static Command.Parsed parse(CommandLine line) {
    return switch (Addresses.read(line, "instances")) {
      case Addresses.Result.Wrong wrong -> CommandSpec.wrong(wrong.problem());
      case Addresses.Result.Found found when found.list().isEmpty() ->
          CommandSpec.wrong("--instances is missing; give the operations port of each instance");
      case Addresses.Result.Found found -> CommandSpec.ready(new StatusCommand(found.list()));
    };
  }

  @Override
  public CommandResult run() {
    try (InstanceClient client = new InstanceClient()) {
      List<InstanceStatus> statuses = client.statuses(instances);
      long head =
          statuses.stream()
              .mapToLong(s -> s instanceof InstanceStatus.Known known ? known.offset() : -1)
              .max()
              .orElse(-1);
      Report report = new Report(COLUMNS, statuses.stream().map(s -> row(s, head)).toList());
      List<String> silent =
          statuses.stream()
              .filter(s -> s instanceof InstanceStatus.Silent)
              .map(s -> InstanceClient.text(s.address()))
              .toList();
      return silent.isEmpty()
          ? new CommandResult.Done(report)
          : new CommandResult.Unreachable(
              "no status from "
                  + String.join(", ", silent)
                  + "; check that the instance runs and that this is its operations port",
              report);
    }
  }

  private static List<String> row(InstanceStatus status, long head) {
    String address = InstanceClient.text(status.address());
    return switch (status) {
      case InstanceStatus.Silent silent ->
          List.of("-", address, "-", "-", "-", "-", "-", "-", silent.reason());
      case InstanceStatus.Known known ->
          List.of(
              known.value("instance"),
              address,
              known.value("failure-domain"),
              known.value("offset"),
              known.value("epoch"),
              known.value("members"),
              known.value("fresh"),
              known.value("open-requests"),
              state(known, head));
    };
  }

  private static String state(InstanceStatus.Known known, long head) {
    if (known.offset() < head) {
      return "behind by " + (head - known.offset());
    }
    return known.value("fresh").equals("false") ? "not fresh" : "current";
  }
}
