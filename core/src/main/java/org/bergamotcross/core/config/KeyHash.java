package org.bergamotcross.core.config;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * The SHA-256 hash of a caller's key; the key itself is never stored.
 *
 * @param hex 64 hexadecimal digits in lower case
 */
public record KeyHash(String hex) {

  /**
   * Hashes a key.
   *
   * @param key the key that the caller presents
   * @return the hash
   */
  public static KeyHash of(String key) {
    return new KeyHash(DigestUtils.sha256Hex(key.getBytes(StandardCharsets.UTF_8)));
  }

  @Override
  public String toString() {
    return hex;
  }
}
