package org.bergamotcross.cli;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Holds the options shared by the commands that append to the log of the platform.
 *
 * @param platform the address of the platform
 * @param instances the operations addresses of the instances to wait for; empty for no wait
 * @param timeout the maximum time to retry and wait
 */
record PlatformOptions(
    InetSocketAddress platform, List<InetSocketAddress> instances, Duration timeout) {
  private static final String DEFAULT_TIMEOUT_MS = "10000";

  /** The result of parsing the options. */
  sealed interface Result {

    /** Indicates that the options are valid. */
    record Valid(PlatformOptions options) implements Result {}

    /** Indicates that an option is missing or invalid. */
    record Invalid(String problem) implements Result {}
  }

  static Options addTo(Options options) {
    return options
        .addOption(AddressOptions.platformOption())
        .addOption(AddressOptions.instancesOption())
        .addOption(
            CommandSpec.option(
                "timeout-ms", "ms", "maximum time to wait; default " + DEFAULT_TIMEOUT_MS));
  }

  static Result parse(CommandLine line) {
    String timeoutMs = line.getOptionValue("timeout-ms", DEFAULT_TIMEOUT_MS);
    if (!timeoutMs.matches("\\d{1,9}")) {
      return new Result.Invalid(
          "--timeout-ms: found \"" + timeoutMs + "\"; expected milliseconds such as 10000");
    }
    return switch (AddressOptions.parse(line, "platform")) {
      case AddressOptions.Result.Invalid invalid -> new Result.Invalid(invalid.problem());
      case AddressOptions.Result.Valid valid when valid.addresses().size() != 1 ->
          new Result.Invalid("--platform: expected one address such as 127.0.0.1:9000");
      case AddressOptions.Result.Valid valid ->
          parseInstances(
              line, valid.addresses().get(0), Duration.ofMillis(Long.parseLong(timeoutMs)));
    };
  }

  private static Result parseInstances(
      CommandLine line, InetSocketAddress platform, Duration timeout) {
    return switch (AddressOptions.parse(line, "instances")) {
      case AddressOptions.Result.Invalid invalid -> new Result.Invalid(invalid.problem());
      case AddressOptions.Result.Valid valid ->
          new Result.Valid(new PlatformOptions(platform, valid.addresses(), timeout));
    };
  }
}
