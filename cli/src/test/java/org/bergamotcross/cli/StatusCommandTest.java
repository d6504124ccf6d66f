package org.bergamotcross.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against an operator who can't see which instances lack a configuration. */
class StatusCommandTest {
  private final TestProgram program = new TestProgram();

  private List<String> status(int code, StatusPage... pages) {
    String list = String.join(",", List.of(pages).stream().map(StatusPage::address).toList());
    assertThat(program.run("status", "--instances", list, "--format", "kv")).isEqualTo(code);
    return program.out().lines().toList();
  }

  @Nested
  class AllAnswer {
    @Test
    void tellsWhoIsBehindOrNotFresh() throws IOException {
      try (StatusPage first = new StatusPage("e1", 7, true);
          StatusPage second = new StatusPage("e2", 5, true);
          StatusPage third = new StatusPage("e3", 7, false)) {
        List<String> lines = status(0, first, second, third);
        assertThat(lines.get(0)).contains("instance=e1");
        assertThat(lines.get(0)).endsWith("state=current");
        assertThat(lines.get(1)).endsWith("state=\"behind by 2\"");
        assertThat(lines.get(2)).endsWith("state=\"not fresh\"");
      }
    }
  }

  @Nested
  class OneIsSilent {
    @Test
    void namesItAndShowsTheOthers() throws IOException {
      try (StatusPage first = new StatusPage("e1", 7, true);
          StatusPage silent = new StatusPage("e2", 7, true)) {
        silent.stop();
        List<String> lines = status(3, first, silent);
        assertThat(lines.get(0)).endsWith("state=current");
        assertThat(lines.get(1)).endsWith("state=\"no connection\"");
        assertThat(program.err()).contains("no status from " + silent.address());
      }
    }
  }
}
