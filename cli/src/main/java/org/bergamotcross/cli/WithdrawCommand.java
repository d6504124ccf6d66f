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
 * Withdraws a key for ever and waits until the instances know.
 *
 * @param key the hash of the key
 * @param options where and how long
 */
record WithdrawCommand(KeyHash key, PlatformOptions options) implements Command {
  static final CommandSpec SPEC =
      new CommandSpec(
          "withdraw",
          "",
          "Withdraws a key for ever, and waits until each given instance knows it.",
          PlatformOptions.addTo(
              new Options()
                  .addOption(CommandSpec.option("sha256", "hex", "hash of the key"))
                  .addOption(
                      CommandSpec.option(
                          "key-file", "file", "file that holds the key itself; - for the input"))),
          WithdrawCommand::parse);

  private static Command.Parsed parse(CommandLine line) {
    Optional<String> hash = Optional.ofNullable(line.getOptionValue("sha256"));
    Optional<String> file = Optional.ofNullable(line.getOptionValue("key-file"));
    if (hash.isPresent() == file.isPresent() || !line.getArgList().isEmpty()) {
      // A key as an argument would show in the list of processes.
      return CommandSpec.wrong("expected either --sha256 HEX or --key-file FILE");
    }
    Optional<KeyHash> key =
        hash.or(() -> file.flatMap(WithdrawCommand::hashOfFile))
            .filter(hex -> hex.matches("[0-9a-f]{64}"))
            .map(KeyHash::new);
    if (key.isEmpty()) {
      return CommandSpec.wrong(
          hash.map(h -> "--sha256: found \"" + h + "\"; expected 64 lower-case hex digits")
              .orElse("--key-file: found no key in \"" + file.orElse("") + "\""));
    }
    return switch (PlatformOptions.read(line)) {
      case PlatformOptions.Result.Wrong wrong -> CommandSpec.wrong(wrong.problem());
      case PlatformOptions.Result.Read read ->
          CommandSpec.ready(new WithdrawCommand(key.get(), read.options()));
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
    TimeLimit limit = TimeLimit.in(options.limit());
    ControlRecord.Withdraw record = new ControlRecord.Withdraw(UUID.randomUUID().toString(), key);
    try (PlatformLog log = new PlatformLog(options.platform())) {
      boolean uncertain = false;
      String reason;
      // A repeated withdrawal changes nothing, so appending again is the way to be certain.
      do {
        switch (log.append(record)) {
          case AppendResult.Appended appended -> {
            return confirmed(appended.offset(), limit);
          }
          case AppendResult.OutcomeUnknown unknown -> {
            uncertain = true;
            reason = unknown.reason();
          }
          case AppendResult.Unavailable unavailable -> reason = unavailable.reason();
          case AppendResult.Refused refused -> {
            return new CommandResult.Refused(
                "the platform refused: " + refused.reason(), row("rejected", "-"));
          }
        }
      } while (limit.pause());
      return uncertain
          ? new CommandResult.Unknown(
              "it is not known whether the key is withdrawn (" + reason + "); withdraw it again",
              row("unknown", "-"))
          : new CommandResult.Unreachable(
              "the log took no append (" + reason + "); the key is still in force",
              row("not-withdrawn", "-"));
    }
  }

  private CommandResult confirmed(long offset, TimeLimit limit) {
    List<InetSocketAddress> missing = RolloutWait.missing(options.instances(), offset, limit);
    Report report = row("withdrawn", "" + offset);
    return missing.isEmpty()
        ? new CommandResult.Done(report)
        : new CommandResult.Unknown(
            "the key is withdrawn, but offset "
                + offset
                + " is not yet reported by "
                + RolloutWait.names(missing)
                + "; such an instance refuses all keys once it is cut off for 3 s",
            report);
  }

  private Report row(String result, String offset) {
    return Report.ofPairs("result", result, "offset", offset, "sha256", key.hex());
  }
}
