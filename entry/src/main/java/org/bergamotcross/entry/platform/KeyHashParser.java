package org.bergamotcross.entry.platform;

import java.util.Optional;
import java.util.regex.Pattern;
import org.bergamotcross.core.config.KeyHash;

/** Reads hashes of keys from text. */
final class KeyHashParser {
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

  private KeyHashParser() {}

  /**
   * Reads a hash.
   *
   * @param text 64 hexadecimal digits in lower case
   * @return the hash, or nothing when the text is another one
   */
  static Optional<KeyHash> parse(String text) {
    return Optional.of(text).filter(t -> SHA256.matcher(t).matches()).map(KeyHash::new);
  }
}
