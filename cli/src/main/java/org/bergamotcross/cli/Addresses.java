package org.bergamotcross.cli;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.bergamotcross.kernel.Setting;

/** Reads addresses from options. */
final class Addresses {
  private Addresses() {}

  static Option instancesOption() {
    return CommandSpec.option(
        "instances", "ip:port,...", "operations ports of the instances, comma separated");
  }

  static Option platformOption() {
    return CommandSpec.option("platform", "ip:port", "address of the platform");
  }

  /** The result of reading an option. */
  sealed interface Result {

    /** The addresses, none when the option is not given. */
    record Found(List<InetSocketAddress> list) implements Result {}

    /** What is wrong with the option. */
    record Wrong(String problem) implements Result {}
  }

  static Result read(CommandLine line, String option) {
    List<InetSocketAddress> list = new ArrayList<>();
    String text = line.getOptionValue(option, "");
    for (String part : text.isEmpty() ? new String[0] : text.split(",", -1)) {
      Optional<InetSocketAddress> address = Setting.parseAddress(part.strip());
      if (address.isEmpty()) {
        return new Result.Wrong(
            "--" + option + ": found \"" + part + "\"; expected ip:port such as 127.0.0.1:9001");
      }
      list.add(address.get());
    }
    return new Result.Found(list);
  }
}
