package org.bergamotcross.cli;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * The options of the commands that change something on the platform.
 *
 * @param platform the address of the platform
 * @param instances the operations ports of the instances that have to confirm, none for no wait
 * @param limit the longest time to try
 */
record PlatformOptions(
    InetSocketAddress platform, List<InetSocketAddress> instances, Duration limit) {
  private static final String DEFAULT_LIMIT_MS = "10000";

  /** The result of reading. */
  sealed interface Result {

    /** The options are right. */
    record Read(PlatformOptions options) implements Result {}

    /** What is wrong. */
    record Wrong(String problem) implements Result {}
  }

  static Options addTo(Options options) {
    return options
        .addOption(Addresses.platformOption())
        .addOption(Addresses.instancesOption())
        .addOption(
            CommandSpec.option(
                "timeout-ms", "ms", "longest time to try; default " + DEFAULT_LIMIT_MS));
  }

  static Result read(CommandLine line) {
    String limit = line.getOptionValue("timeout-ms", DEFAULT_LIMIT_MS);
    if (!limit.matches("\\d{1,9}")) {
      return new Result.Wrong(
          "--timeout-ms: found \"" + limit + "\"; expected milliseconds such as 10000");
    }
    return switch (Addresses.read(line, "platform")) {
      case Addresses.Result.Wrong wrong -> new Result.Wrong(wrong.problem());
      case Addresses.Result.Found found when found.list().size() != 1 ->
          new Result.Wrong("--platform: expected one address such as 127.0.0.1:9000");
      case Addresses.Result.Found found ->
          withInstances(line, found.list().get(0), Duration.ofMillis(Long.parseLong(limit)));
    };
  }

  private static Result withInstances(
      CommandLine line, InetSocketAddress platform, Duration limit) {
    return switch (Addresses.read(line, "instances")) {
      case Addresses.Result.Wrong wrong -> new Result.Wrong(wrong.problem());
      case Addresses.Result.Found found ->
          new Result.Read(new PlatformOptions(platform, found.list(), limit));
    };
  }
}
