package org.bergamotcross.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a status report that hides instances that are behind, not fresh or unreachable.
 */
class StatusCommandTest {
  private final CapturedProgram program = new CapturedProgram();

  private List<String> status(int code, FakeStatusPage... pages) {
    String list = String.join(",", List.of(pages).stream().map(FakeStatusPage::address).toList());
    assertThat(program.run("status", "--instances", list, "--format", "kv")).isEqualTo(code);
    return program.out().lines().toList();
  }

  @Nested
  class AllInstancesRespond {
    @Test
    void showsWhichAreBehindOrNotFresh() throws IOException {
      try (FakeStatusPage first = new FakeStatusPage("e1", 7, true);
          FakeStatusPage second = new FakeStatusPage("e2", 5, true);
          FakeStatusPage third = new FakeStatusPage("e3", 7, false)) {
        List<String> lines = status(0, first, second, third);
        assertThat(lines.get(0)).contains("instance=e1");
        assertThat(lines.get(0)).endsWith("state=current");
        assertThat(lines.get(1)).endsWith("state=\"behind by 2\"");
        assertThat(lines.get(2)).endsWith("state=\"not fresh\"");
      }
    }
  }

  @Nested
  class OneInstanceIsUnreachable {
    @Test
    void isNamedAndTheOthersAreShown() throws IOException {
      try (FakeStatusPage first = new FakeStatusPage("e1", 7, true);
          FakeStatusPage unreachable = new FakeStatusPage("e2", 7, true)) {
        unreachable.stop();
        List<String> lines = status(3, first, unreachable);
        assertThat(lines.get(0)).endsWith("state=current");
        assertThat(lines.get(1)).endsWith("state=\"no connection\"");
        assertThat(program.err()).contains("no status from " + unreachable.address());
      }
    }
  }

  @Nested
  class OneResponseIsDamaged {
    // Guards against a status that is read from a page which is cut or has size lines in it.
    @ParameterizedTest
    @ValueSource(
        strings = {
          "Content-Length: \r\n\r\n",
          "Content-Length: 2 0\r\n\r\n",
          "Transfer-Encoding: chunk ed\r\n\r\n24\r\n"
        })
    void isNamedAndTheOthersAreShown(String framing) throws IOException {
      String page = FakeStatusPage.page("e2", 7, true);
      try (FakeStatusPage first = new FakeStatusPage("e1", 7, true);
          FakeStatusPage damaged =
              FakeStatusPage.respondingWith("HTTP/1.1 200 OK\r\n" + framing + page)) {
        List<String> lines = status(3, first, damaged);
        assertThat(lines.get(0)).endsWith("state=current");
        assertThat(lines.get(1)).endsWith("state=\"invalid response\"");
        assertThat(program.err()).contains("no status from " + damaged.address());
      }
    }
  }
}
