package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.HealthView;
import org.bergamotcross.core.routing.TargetStatus;
import org.bergamotcross.entry.Broadcasts;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests that stay open at a target after it was ejected. */
class EjectedTargetTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);
  private static final RawTarget.RequestHandler STALLING =
      (connection, request) -> connection.awaitClose();

  private static void publish(EntryInstance entry, int target, TargetStatus status) {
    entry
        .kernel()
        .context()
        .publish(
            Broadcasts.HEALTH, new HealthView(Map.of(new TargetId("target-" + target), status)));
  }

  private static EntryInstance startWithFirstChoice(RawTarget first, RawTarget second)
      throws Exception {
    EntryInstance entry = EntryInstance.start(List.of(first.port(), second.port()));
    publish(entry, second.port(), new TargetStatus.Available(1e-12));
    return entry;
  }

  private static void eject(EntryInstance entry, RawTarget target) {
    publish(entry, target.port(), new TargetStatus.Unavailable(TargetStatus.Reason.EJECTED));
  }

  @Nested
  class IdempotentRequest {
    // Guards against a request that waits at the stalled target until its deadline and is then
    // reported as unknown.
    @Test
    void isAnsweredByAnotherTarget() throws Exception {
      try (RawTarget stalled = new RawTarget(STALLING);
          RawTarget target = RawTarget.echo();
          EntryInstance entry = startWithFirstChoice(stalled, target);
          RawCaller caller = new RawCaller(entry.port())) {
        caller.sendRequest("GET /team/open/x HTTP/1.1", "", KEY);
        Polling.until("the request stalls", () -> stalled.requests().size() == 1);
        eject(entry, stalled);
        assertThat(caller.read().body()).isEqualTo("x");
      }
    }
  }

  @Nested
  class NonIdempotentRequest {
    @Test
    void isNotSentToAnotherTarget() throws Exception {
      try (RawTarget stalled = new RawTarget(STALLING);
          RawTarget target = RawTarget.echo();
          EntryInstance entry = startWithFirstChoice(stalled, target);
          RawCaller caller = new RawCaller(entry.port())) {
        caller.sendRequest(
            "POST /team/open/x HTTP/1.1\r\nContent-Length: 1",
            "b",
            KEY,
            "X-Request-Timeout-Ms: 2000");
        Polling.until("the request stalls", () -> stalled.requests().size() == 1);
        eject(entry, stalled);
        assertThat(RawCaller.refusalAndOutcome(caller.read()))
            .isEqualTo("deadline-after-send/unknown");
        assertThat(target.requests()).isEmpty();
      }
    }
  }
}
