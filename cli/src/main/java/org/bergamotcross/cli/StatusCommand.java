package org.bergamotcross.cli;

import java.net.InetSocketAddress;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Shows the configuration in force at each instance.
 *
 * @param instances the operations addresses of the instances
 */
record StatusCommand(List<InetSocketAddress> instances) implements Command {
  static final CommandSpec SPEC =
      new CommandSpec(
          "status",
          "",
          "Shows which configuration each instance has in force, and which ones are behind.",
          new Options().addOption(AddressOptions.instancesOption()),
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

  private static Command.ParseResult parse(CommandLine line) {
    return switch (AddressOptions.parse(line, "instances")) {
      case AddressOptions.Result.Invalid invalid -> CommandSpec.invalid(invalid.problem());
      case AddressOptions.Result.Valid valid when valid.addresses().isEmpty() ->
          CommandSpec.invalid(
              "--instances is missing; give the operations address of each instance");
      case AddressOptions.Result.Valid valid ->
          CommandSpec.valid(new StatusCommand(valid.addresses()));
    };
  }

  @Override
  public CommandResult run() {
    try (InstanceClient client = new InstanceClient()) {
      List<InstanceStatus> statuses = client.fetchStatuses(instances);
      long newestOffset =
          statuses.stream()
              .mapToLong(
                  s -> s instanceof InstanceStatus.Reported reported ? reported.offset() : -1)
              .max()
              .orElse(-1);
      Report report =
          new Report(COLUMNS, statuses.stream().map(s -> toRow(s, newestOffset)).toList());
      List<String> unavailable =
          statuses.stream()
              .filter(s -> s instanceof InstanceStatus.Unavailable)
              .map(s -> InstanceClient.formatAddress(s.address()))
              .toList();
      return unavailable.isEmpty()
          ? new CommandResult.Succeeded(report)
          : new CommandResult.Unreachable(
              "no status from "
                  + String.join(", ", unavailable)
                  + "; check that the instance is running and that this is its operations address",
              report);
    }
  }

  private static List<String> toRow(InstanceStatus status, long newestOffset) {
    String address = InstanceClient.formatAddress(status.address());
    return switch (status) {
      case InstanceStatus.Unavailable unavailable ->
          List.of("-", address, "-", "-", "-", "-", "-", "-", unavailable.reason());
      case InstanceStatus.Reported reported ->
          List.of(
              reported.value("instance"),
              address,
              reported.value("failure-domain"),
              reported.value("offset"),
              reported.value("epoch"),
              reported.value("members"),
              reported.value("fresh"),
              reported.value("open-requests"),
              describeState(reported, newestOffset));
    };
  }

  private static String describeState(InstanceStatus.Reported reported, long newestOffset) {
    if (reported.offset() < newestOffset) {
      return "behind by " + (newestOffset - reported.offset());
    }
    return reported.value("fresh").equals("false") ? "not fresh" : "current";
  }
}
