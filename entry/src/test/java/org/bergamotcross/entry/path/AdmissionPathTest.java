package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against an admission duty that doesn't apply rates and claims to requests over HTTP. */
class AdmissionPathTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);
  private static final String SLOW = RawCaller.bearerHeader(EntryInstance.LOW_RATE_KEY);

  @Nested
  class Claims {
    @Test
    void repeatGetsTheAnswerToTheFirstRequest() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        RawTarget.Message first =
            caller.send("POST", "/team/open/a", "1", KEY, "Idempotency-Key: order-1");
        RawTarget.Message second =
            caller.send("POST", "/team/open/a", "2", KEY, "Idempotency-Key: order-1");
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(target.requests()).hasSize(1);
      }
    }

    @Test
    void sameKeyOfAnotherOrganisationIsAnotherClaim() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        String other = RawCaller.bearerHeader(EntryInstance.OTHER_KEY);
        caller.send("POST", "/team/open/a", "1", KEY, "Idempotency-Key: order-1");
        caller.send("POST", "/team/open/b", "2", other, "Idempotency-Key: order-1");
        assertThat(target.requests()).hasSize(2);
      }
    }
  }

  @Nested
  class Rates {
    @Test
    void requestWithoutATokenIsRefusedWithTheTimeToTryAgain() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        assertThat(RawCaller.status(caller.get("/team/open/a", SLOW))).isEqualTo(200);
        RawTarget.Message second = caller.get("/team/open/b", SLOW, "X-Request-Timeout-Ms: 200");
        assertThat(RawCaller.refusalAndOutcome(second)).isEqualTo("rate-exceeded/not-run");
        assertThat(second.header("retry-after")).isNotEmpty();
        assertThat(target.requests()).hasSize(1);
      }
    }

    @Test
    void waitEndsWhenTheKeyIsWithdrawn() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        caller.get("/team/open/a", SLOW);
        caller.write("GET /team/open/b HTTP/1.1\r\nHost: entry\r\n" + SLOW + "\r\n\r\n");
        Polling.until(
            "the request waits for a token", () -> entry.openRequests().requestCount() == 1);
        entry.configure(List.of(target.port()), 4, Set.of(EntryInstance.LOW_RATE_KEY));
        assertThat(RawCaller.refusalAndOutcome(caller.read())).isEqualTo("withdrawn-key/not-run");
        assertThat(target.requests()).hasSize(1);
      }
    }
  }
}
