package org.bergamotcross.cli;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.bergamotcross.core.config.KeyHash;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a generated key whose hash in the settings does not match it. */
class NewKeyCommandTest {
  private final CapturedProgram program = new CapturedProgram();

  private Map<String, String> newKey() {
    assertThat(program.run("key", "new", "--organisation", "depot", "--format", "kv")).isEqualTo(0);
    return KeyValueLine.parse(program.out()).orElseThrow();
  }

  @Nested
  class NewKey {
    @Test
    void isUniqueAndMatchesItsHash() {
      Map<String, String> first = newKey();
      assertThat(first.get("sha256")).isEqualTo(KeyHash.of(first.get("key")).hex());
      assertThat(first.get("settings")).contains("organisation = depot, sha256 = ");
      assertThat(newKey().get("key")).isNotEqualTo(first.get("key"));
    }
  }
}
