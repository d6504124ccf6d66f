package org.bergamotcross.cli;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against changes of usage, output formats or exit codes that break scripts. */
class CommandProgramTest {
  private final CapturedProgram program = new CapturedProgram();

  @Nested
  class Usage {
    @Test
    void helpListsCommandsAndExitCodes() {
      assertThat(program.run("--help")).isEqualTo(0);
      assertThat(program.out()).contains("explain [REQUEST-ID]");
      assertThat(program.out()).contains("4 outcome unknown");
    }

    @Test
    void eachCommandHasHelp() {
      for (List<String> words : List.of(List.of("status"), List.of("key", "new"))) {
        assertThat(program.run(String.join(" ", words).concat(" --help").split(" ", -1)))
            .isEqualTo(0);
        assertThat(program.out()).contains("--format");
      }
    }

    @Test
    void versionIsPrinted() {
      assertThat(program.run("--version")).isEqualTo(0);
      assertThat(program.out()).startsWith("bergamotcross ");
    }

    @Test
    void invalidArgumentsAreReportedWithTheExpectedValue() {
      assertThat(program.run("publsh")).isEqualTo(2);
      assertThat(program.err()).contains("found command \"publsh\"; expected one of");
      assertThat(program.run("status")).isEqualTo(2);
      assertThat(program.err()).contains("--instances is missing");
      assertThat(program.run("status", "--instances", "host:1")).isEqualTo(2);
      assertThat(program.err()).contains("found \"host:1\"; expected ip:port");
      assertThat(program.run("key", "new", "--format", "xml")).isEqualTo(2);
      assertThat(program.err()).contains("found \"xml\"; expected table or kv");
      assertThat(program.run()).isEqualTo(2);
    }
  }

  @Nested
  class Formats {
    @Test
    void tableIsAligned() {
      Report report = new Report(List.of("a", "long"), List.of(List.of("value", "x")));
      assertThat(new OutputFormat.Table().format(report))
          .containsExactly("a      long", "value  x")
          .inOrder();
    }

    @Test
    void keyValueLinesAreQuotedWhereNeeded() {
      Report report = new Report(List.of("a", "b"), List.of(List.of("two words", "x")));
      assertThat(new OutputFormat.KeyValue().format(report)).containsExactly("a=\"two words\" b=x");
    }
  }
}
