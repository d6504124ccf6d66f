package org.bergamotcross.cli;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.bergamotcross.kernel.Setting;

/** Defines and parses the options that take addresses. */
final class AddressOptions {
  private AddressOptions() {}

  static Option instancesOption() {
    return CommandSpec.option(
        "instances", "ip:port,...", "operations addresses of the instances, separated by commas");
  }

  static Option platformOption() {
    return CommandSpec.option("platform", "ip:port", "address of the platform");
  }

  /** The result of parsing an option. */
  sealed interface Result {

    /** Holds the addresses; the list is empty if the option is missing. */
    record Valid(List<InetSocketAddress> addresses) implements Result {}

    /** Indicates that the value of the option is invalid. */
    record Invalid(String problem) implements Result {}
  }

  static Result parse(CommandLine line, String option) {
    List<InetSocketAddress> addresses = new ArrayList<>();
    String text = line.getOptionValue(option, "");
    for (String item : text.isEmpty() ? new String[0] : text.split(",", -1)) {
      Optional<InetSocketAddress> address = Setting.parseAddress(item.strip());
      if (address.isEmpty()) {
        return new Result.Invalid(
            "--" + option + ": found \"" + item + "\"; expected ip:port such as 127.0.0.1:9001");
      }
      addresses.add(address.get());
    }
    return new Result.Valid(addresses);
  }
}
