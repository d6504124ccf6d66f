package org.bergamotcross.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.entry.platform.PlatformClient.AppendResult;

/**
 * Withdraws a key permanently and waits until the instances report the withdrawal.
 *
 * @param key the hash of the key
 * @param options the platform, the instances to wait for and the timeout
 */
record WithdrawCommand(KeyHash key, PlatformOptions options) implements Command {
  static final CommandSpec SPEC =
      new CommandSpec(
          "withdraw",
          "",
          "Withdraws a key permanently, and waits until each given instance reports it.",
          PlatformOptions.addTo(
              new Options()
                  .addOption(CommandSpec.option("sha256", "hex", "hash of the key"))
                  .addOption(
                      CommandSpec.option(
                          "key-file",
                          "file",
                          "file that contains the key itself; - for standard input"))),
          WithdrawCommand::parse);

  private static Command.ParseResult parse(CommandLine line) {
    Optional<String> hash = Optional.ofNullable(line.getOptionValue("sha256"));
    Optional<String> file = Optional.ofNullable(line.getOptionValue("key-file"));
    if (hash.isPresent() == file.isPresent() || !line.getArgList().isEmpty()) {
      // The key itself is not accepted as an argument, because it would show in the process list.
      return CommandSpec.invalid("expected either --sha256 HEX or --key-file FILE");
    }
    Optional<KeyHash> key =
        hash.or(() -> file.flatMap(WithdrawCommand::hashOfFile))
            .filter(hex -> hex.matches("[0-9a-f]{64}"))
            .map(KeyHash::new);
    if (key.isEmpty()) {
      return CommandSpec.invalid(
          hash.map(h -> "--sha256: found \"" + h + "\"; expected 64 lower-case hex digits")
              .orElse("--key-file: found no key in \"" + file.orElse("") + "\""));
    }
    return switch (PlatformOptions.parse(line)) {
      case PlatformOptions.Result.Invalid invalid -> CommandSpec.invalid(invalid.problem());
      case PlatformOptions.Result.Valid valid ->
          CommandSpec.valid(new WithdrawCommand(key.get(), valid.options()));
    };
  }

  private static Optional<String> hashOfFile(String file) {
    try {
      byte[] bytes =
          file.equals("-") ? System.in.readAllBytes() : Files.readAllBytes(Path.of(file));
      String key = new String(bytes, StandardCharsets.UTF_8).strip();
      return key.isEmpty() ? Optional.empty() : Optional.of(KeyHash.of(key).hex());
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  @Override
  public CommandResult run() {
    TimeLimit limit = TimeLimit.startingNow(options.timeout());
    ControlRecord.Withdraw record = new ControlRecord.Withdraw(UUID.randomUUID().toString(), key);
    try (PlatformLog log = new PlatformLog(options.platform())) {
      boolean outcomeUnknown = false;
      String reason;
      // Withdrawing a key again has no effect, so an append with an unknown outcome is repeated.
      do {
        switch (log.append(record)) {
          case AppendResult.Appended appended -> {
            return awaitConfirmation(appended.offset(), limit);
          }
          case AppendResult.OutcomeUnknown unknown -> {
            outcomeUnknown = true;
            reason = unknown.reason();
          }
          case AppendResult.Unavailable unavailable -> reason = unavailable.reason();
          case AppendResult.Refused refused -> {
            return new CommandResult.Refused(
                "the platform refused the append: " + refused.reason(), resultRow("rejected", "-"));
          }
        }
      } while (limit.pauseBeforeRetry());
      return outcomeUnknown
          ? new CommandResult.OutcomeUnknown(
              "it is not known whether the key is withdrawn (" + reason + "); withdraw it again",
              resultRow("unknown", "-"))
          : new CommandResult.Unreachable(
              "the platform did not accept the append (" + reason + "); the key is still in force",
              resultRow("not-withdrawn", "-"));
    }
  }

  private CommandResult awaitConfirmation(long offset, TimeLimit limit) {
    List<InetSocketAddress> missing = RolloutWaiter.awaitOffset(options.instances(), offset, limit);
    Report report = resultRow("withdrawn", "" + offset);
    return missing.isEmpty()
        ? new CommandResult.Succeeded(report)
        : new CommandResult.OutcomeUnknown(
            "the key is withdrawn, but offset "
                + offset
                + " is not yet reported by "
                + RolloutWaiter.formatAddresses(missing)
                + "; an instance that can confirm its configuration neither from the log nor from a"
                + " majority of its peers refuses all keys after 3 s",
            report);
  }

  private Report resultRow(String result, String offset) {
    return Report.ofPairs("result", result, "offset", offset, "sha256", key.hex());
  }
}
