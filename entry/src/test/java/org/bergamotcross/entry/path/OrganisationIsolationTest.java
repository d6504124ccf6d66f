package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against running a request for another organisation than its key's (invariant 2). */
class OrganisationIsolationTest {

  @Nested
  class OpenRoutes {
    @Test
    void runEachRequestForTheOrganisationOfItsKey() throws Exception {
      RawTarget.RequestHandler echoOrganisation =
          (connection, request) -> connection.write(RawTarget.ok(request.header("x-organisation")));
      try (RawTarget target = new RawTarget(echoOrganisation);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
        List<Future<Void>> callers = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
          callers.add(threads.submit(() -> alternate(entry.port())));
        }
        for (Future<Void> caller : callers) {
          caller.get();
        }
        assertThat(target.acceptedConnections()).isLessThan(100);
      }
    }

    /** Alternates between the organisations' keys on one connection to reuse target connections. */
    private Void alternate(int port) throws Exception {
      try (RawCaller caller = new RawCaller(port)) {
        for (int i = 0; i < 20; i++) {
          assertThat(
                  caller
                      .get(
                          "/team/open/x",
                          RawCaller.bearerHeader(EntryInstance.KEY),
                          "X-Organisation: team/other")
                      .body())
              .isEqualTo("team/customer");
          assertThat(caller.get("/team/open/x", "X-Api-Key: " + EntryInstance.OTHER_KEY).body())
              .isEqualTo("team/other");
        }
      }
      return null;
    }
  }
}
