package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a health check that is wrong and operations pages that show nothing. */
class OperationsListenerTest {

  @Nested
  class Health {
    @Test
    void isReadyOnlyWhileConfirmedAndNotStopping() throws Exception {
      try (EntryInstance entry = EntryInstance.start(List.of())) {
        assertThat(page(entry, "/health")).startsWith("200 ");
        entry.confirmConfiguration(Duration.ZERO);
        assertThat(page(entry, "/health")).startsWith("503 ");
        assertThat(page(entry, "/health")).contains("fresh=false\n");
        entry.confirmConfiguration(Duration.ofMinutes(1));
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
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        caller.get("/team/open/x", RawCaller.bearerHeader(EntryInstance.KEY));
        Polling.until("the request is counted", () -> entry.openRequests().requestCount() == 0);
        assertThat(page(entry, "/metrics")).contains("ring.routing.size=");
        assertThat(page(entry, "/status")).contains("caller-connections=1\n");
        assertThat(page(entry, "/other")).startsWith("404 ");
      }
    }
  }

  private static String page(EntryInstance entry, String path) throws Exception {
    try (RawCaller operator = new RawCaller(entry.operationsPort())) {
      RawTarget.Message page = operator.get(path);
      return RawCaller.status(page) + " " + page.body();
    }
  }
}
