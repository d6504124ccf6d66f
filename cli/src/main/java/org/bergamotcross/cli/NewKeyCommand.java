package org.bergamotcross.cli;

import java.security.SecureRandom;
import java.util.Base64;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.bergamotcross.core.config.KeyHash;

/**
 * Generates a key and its hash; the key is printed once and stored nowhere.
 *
 * @param name the name of the key in the settings
 * @param organisation the organisation that the key belongs to
 */
record NewKeyCommand(String name, String organisation) implements Command {
  static final CommandSpec SPEC =
      new CommandSpec(
          "key new",
          "",
          "Generates a key for an organisation, and its hash for the settings of the team.",
          new Options()
              .addOption(CommandSpec.option("name", "name", "name of the key; default key-1"))
              .addOption(
                  CommandSpec.option("organisation", "name", "organisation that gets the key")),
          NewKeyCommand::parse);

  // 256 random bits can't be guessed, so the hash of the key needs no salt.
  private static final int KEY_BYTES = 32;

  private static Command.ParseResult parse(CommandLine line) {
    return CommandSpec.valid(
        new NewKeyCommand(
            line.getOptionValue("name", "key-1"),
            line.getOptionValue("organisation", "<organisation>")));
  }

  @Override
  public CommandResult run() {
    byte[] bytes = new byte[KEY_BYTES];
    new SecureRandom().nextBytes(bytes);
    String key = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    String hash = KeyHash.of(key).hex();
    return new CommandResult.Succeeded(
        Report.ofPairs(
            "key",
            key,
            "sha256",
            hash,
            "section",
            "[key " + name + "]",
            "settings",
            "organisation = " + organisation + ", sha256 = " + hash));
  }
}
