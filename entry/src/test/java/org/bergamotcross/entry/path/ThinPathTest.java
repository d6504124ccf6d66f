package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a path that does not bring a request to a target and its answer back. */
class ThinPathTest {

  @Nested
  class Answers {
    @Test
    void comeFromTheTarget() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryProcess entry = EntryProcess.start(List.of(target.port()));
          Caller caller = new Caller(entry.port())) {
        RawTarget.Received response =
            caller.get("/team/open/a", Caller.key(EntryProcess.KEY), "X-Request-Id: r1");
        assertThat(response.body()).isEqualTo("a");
        assertThat(response.header("x-request-id")).isEqualTo("r1");
        assertThat(caller.get("/team/open/b", Caller.key(EntryProcess.KEY)).body()).isEqualTo("b");
      }
    }
  }
}
