package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a duty that does not apply rates and claims to real requests. */
class AdmissionPathTest {
  private static final String KEY = Caller.key(EntryProcess.KEY);
  private static final String SLOW = Caller.key(EntryProcess.SLOW_KEY);

  @Nested
  class Claims {
    @Test
    void repeatGetsTheAnswerToTheFirstRequest() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryProcess entry = EntryProcess.start(List.of(target.port()));
          Caller caller = new Caller(entry.port())) {
        RawTarget.Received first =
            caller.send("POST", "/team/open/a", "1", KEY, "Idempotency-Key: order-1");
        RawTarget.Received second =
            caller.send("POST", "/team/open/a", "2", KEY, "Idempotency-Key: order-1");
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(target.received()).hasSize(1);
      }
    }

    @Test
    void sameKeyOfAnotherOrganisationIsAnotherClaim() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryProcess entry = EntryProcess.start(List.of(target.port()));
          Caller caller = new Caller(entry.port())) {
        String other = Caller.key(EntryProcess.OTHER_KEY);
        caller.send("POST", "/team/open/a", "1", KEY, "Idempotency-Key: order-1");
        caller.send("POST", "/team/open/b", "2", other, "Idempotency-Key: order-1");
        assertThat(target.received()).hasSize(2);
      }
    }
  }

  @Nested
  class Rates {
    @Test
    void requestWithoutATokenIsRefusedWithTheTimeToTryAgain() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryProcess entry = EntryProcess.start(List.of(target.port()));
          Caller caller = new Caller(entry.port())) {
        assertThat(Caller.status(caller.get("/team/open/a", SLOW))).isEqualTo(200);
        RawTarget.Received second = caller.get("/team/open/b", SLOW, "X-Request-Timeout-Ms: 200");
        assertThat(Caller.refusal(second)).isEqualTo("rate-exceeded/not-run");
        assertThat(second.header("retry-after")).isNotEmpty();
        assertThat(target.received()).hasSize(1);
      }
    }

    @Test
    void waitEndsWhenTheKeyIsWithdrawn() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryProcess entry = EntryProcess.start(List.of(target.port()));
          Caller caller = new Caller(entry.port())) {
        caller.get("/team/open/a", SLOW);
        caller.write("GET /team/open/b HTTP/1.1\r\nHost: entry\r\n" + SLOW + "\r\n\r\n");
        Await.until("the request waits", () -> entry.open().requests() == 1);
        entry.configure(List.of(target.port()), 4, Set.of(EntryProcess.SLOW_KEY));
        assertThat(Caller.refusal(caller.read())).isEqualTo("withdrawn-key/not-run");
        assertThat(target.received()).hasSize(1);
      }
    }
  }
}
