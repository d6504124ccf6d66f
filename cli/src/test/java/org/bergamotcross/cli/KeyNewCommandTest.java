package org.bergamotcross.cli;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.bergamotcross.core.config.KeyHash;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against keys that their own hash in the settings does not admit. */
class KeyNewCommandTest {
  private final TestProgram program = new TestProgram();

  private Map<String, String> newKey() {
    assertThat(program.run("key", "new", "--organisation", "depot", "--format", "kv")).isEqualTo(0);
    return KeyValueLine.read(program.out()).orElseThrow();
  }

  @Nested
  class NewKey {
    @Test
    void isDifferentEachTimeAndHasItsHash() {
      Map<String, String> first = newKey();
      assertThat(first.get("sha256")).isEqualTo(KeyHash.of(first.get("key")).hex());
      assertThat(first.get("settings")).contains("organisation = depot, sha256 = ");
      assertThat(newKey().get("key")).isNotEqualTo(first.get("key"));
    }
  }
}
