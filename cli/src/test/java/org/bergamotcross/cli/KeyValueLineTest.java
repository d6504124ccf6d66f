package org.bergamotcross.cli;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against log lines that the command line can't read back. */
class KeyValueLineTest {

  @Property(seed = "20261204")
  void readsBackEachValueThatWasQuoted(
      @ForAll @CharRange(from = '\n', to = '~') @StringLength(max = 12) String first,
      @ForAll @CharRange(from = ' ', to = '~') @StringLength(max = 12) String second) {
    String line = "a=" + KeyValueLine.quoted(first) + " b=" + KeyValueLine.quoted(second);
    assertThat(KeyValueLine.read(line)).hasValue(Map.of("a", first, "b", second));
  }

  @Nested
  class OtherText {
    @Test
    void isNoLine() {
      assertThat(KeyValueLine.read("Exception in thread main")).isEmpty();
      assertThat(KeyValueLine.read("")).isEmpty();
      assertThat(KeyValueLine.read("a stack = trace")).isEmpty();
    }

    @Test
    void withOpenQuotesEndsWithTheLine() {
      assertThat(KeyValueLine.read("a=\"b c")).hasValue(Map.of("a", "b c"));
    }
  }
}
