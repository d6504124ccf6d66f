package org.bergamotcross.cli;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against values that don't survive quoting and parsing. */
class KeyValueLineTest {

  @Property(seed = "20261204")
  void parsesEachQuotedValueBack(
      @ForAll @CharRange(from = '\n', to = '~') @StringLength(max = 12) String first,
      @ForAll @CharRange(from = ' ', to = '~') @StringLength(max = 12) String second) {
    String line = "a=" + KeyValueLine.quote(first) + " b=" + KeyValueLine.quote(second);
    assertThat(KeyValueLine.parse(line)).hasValue(Map.of("a", first, "b", second));
  }

  @Nested
  class MalformedText {
    @Test
    void isNotParsed() {
      assertThat(KeyValueLine.parse("Exception in thread main")).isEmpty();
      assertThat(KeyValueLine.parse("")).isEmpty();
      assertThat(KeyValueLine.parse("a stack = trace")).isEmpty();
    }

    @Test
    void withUnclosedQuotesEndsAtTheEndOfTheLine() {
      assertThat(KeyValueLine.parse("a=\"b c")).hasValue(Map.of("a", "b c"));
    }
  }
}
