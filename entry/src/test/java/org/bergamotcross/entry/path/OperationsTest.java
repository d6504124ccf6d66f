package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against an instance that gets requests it would refuse, and against a mute one. */
class OperationsTest {

  @Nested
  class Health {
    @Test
    void isReadyOnlyWhileConfirmedAndNotStopping() throws Exception {
      try (EntryProcess entry = EntryProcess.start(List.of())) {
        assertThat(page(entry, "/health")).startsWith("200 ");
        entry.confirm(Duration.ZERO);
        assertThat(page(entry, "/health")).startsWith("503 ");
        assertThat(page(entry, "/health")).contains("fresh=false\n");
        entry.confirm(Duration.ofMinutes(1));
        assertThat(page(entry, "/health")).startsWith("200 ");
        entry.stop(Duration.ofSeconds(30));
        assertThat(page(entry, "/health")).startsWith("503 ");
      }
    }
  }

  @Nested
  class Pages {
    @Test
    void showMetricsAndStatus() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryProcess entry = EntryProcess.start(List.of(target.port()));
          Caller caller = new Caller(entry.port())) {
        caller.get("/team/open/x", Caller.key(EntryProcess.KEY));
        Await.until("the request is counted", () -> entry.open().requests() == 0);
        assertThat(page(entry, "/metrics")).contains("ring.routing.size=");
        assertThat(page(entry, "/status")).contains("caller-connections=1\n");
        assertThat(page(entry, "/other")).startsWith("404 ");
      }
    }
  }

  private static String page(EntryProcess entry, String path) throws Exception {
    try (Caller operator = new Caller(entry.operationsPort())) {
      RawTarget.Received page = operator.get(path);
      return Caller.status(page) + " " + page.body();
    }
  }
}
