package org.bergamotcross.entry.platform;

import java.util.Optional;
import java.util.regex.Pattern;
import org.bergamotcross.core.config.KeyHash;

/** Parses SHA-256 hashes of API keys. */
final class KeyHashParser {
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

  private KeyHashParser() {}

  /**
   * Parses a hash.
   *
   * @param text 64 hexadecimal digits in lower case
   * @return the hash, or empty if the text has another format
   */
  static Optional<KeyHash> parse(String text) {
    return Optional.of(text).filter(t -> SHA256.matcher(t).matches()).map(KeyHash::new);
  }
}
