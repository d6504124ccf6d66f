package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests for a target that announced that it is leaving or wants a pause. */
class TargetAnnouncementTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);
  private static final String FRACTIONS = "[callers]\nretry-after-fractions = yes\n";

  /** Answers like an echo target, with an additional header line. */
  private static RawTarget.RequestHandler announcing(String status, String headers) {
    return (connection, request) ->
        connection.write(
            "HTTP/1.1 " + status + "\r\n" + headers + "\r\nContent-Length: 2\r\n\r\nok");
  }

  private static EntryInstance start(RawTarget... targets) throws Exception {
    return EntryInstance.startWith(
        FRACTIONS, List.of(targets).stream().map(RawTarget::port).toList());
  }

  @Nested
  class Leaving {
    @ParameterizedTest
    @ValueSource(strings = {"200 OK", "500 Internal Server Error", "503 Service Unavailable"})
    void endsNewRequestsWhateverTheStatus(String status) throws Exception {
      checkNoRequestAfter(announcing(status, "X-Draining: 1"));
    }

    @Test
    void endsNewRequestsAfterARejection() throws Exception {
      checkNoRequestAfter(
          announcing("503 Service Unavailable", "X-Draining: 1\r\nX-Not-Run: true"));
    }

    private void checkNoRequestAfter(RawTarget.RequestHandler announcement) throws Exception {
      try (RawTarget leaving = new RawTarget(announcement);
          RawTarget other = RawTarget.echo();
          EntryInstance entry = start(leaving, other);
          RawCaller caller = new RawCaller(entry.port())) {
        int sent = 0;
        while (leaving.requests().isEmpty() && sent++ < 200) {
          caller.get("/team/open/first", KEY);
        }
        assertThat(leaving.requests()).hasSize(1);
        for (int i = 0; i < 30; i++) {
          assertThat(RawCaller.status(caller.send("POST", "/team/open/later", "", KEY)))
              .isEqualTo(200);
        }
        assertThat(leaving.requests()).hasSize(1);
      }
    }
  }

  @Nested
  class Pause {
    private static RawTarget pausing(String retryAfter) throws Exception {
      return new RawTarget(
          announcing("503 Service Unavailable", "X-Not-Run: true\r\nRetry-After: " + retryAfter));
    }

    // Half of the pool pauses: callers get their responses from the other half without a delay.
    @Test
    void ofSomeTargetsDelaysNoRequest() throws Exception {
      try (RawTarget paused = pausing("3.5");
          RawTarget other = RawTarget.echo();
          EntryInstance entry = start(paused, other);
          RawCaller caller = new RawCaller(entry.port())) {
        ClockReading begun = entry.now();
        for (int i = 0; i < 40; i++) {
          RawTarget.Message response = caller.send("POST", "/team/open/r" + i, "", KEY);
          assertThat(response.body()).isEqualTo("r" + i);
        }
        assertThat(entry.now().since(begun)).isLessThan(Duration.ofSeconds(3));
        assertThat(paused.requests().size()).isAtMost(1);
      }
    }

    // The whole pool pauses: callers learn at once when to come back, and that nothing has run.
    @Test
    void ofAllTargetsRefusesAtOnceWithTheTimeLeft() throws Exception {
      try (RawTarget first = pausing("3.5");
          RawTarget second = pausing("3.5");
          EntryInstance entry = start(first, second);
          RawCaller caller = new RawCaller(entry.port())) {
        caller.send("POST", "/team/open/r", "", KEY);
        ClockReading begun = entry.now();
        for (int i = 0; i < 5; i++) {
          RawTarget.Message response = caller.send("POST", "/team/open/r", "", KEY);
          assertThat(RawCaller.refusalAndOutcome(response)).isEqualTo("targets-paused/not-run");
          double retryAfter = Double.parseDouble(response.header("retry-after"));
          assertThat(retryAfter).isGreaterThan(1.0);
          assertThat(retryAfter).isLessThan(4.5);
        }
        assertThat(entry.now().since(begun)).isLessThan(Duration.ofSeconds(1));
        assertThat(first.requests().size()).isEqualTo(1);
        assertThat(second.requests().size()).isEqualTo(1);
      }
    }

    @Test
    void withAFractionEndsWithIt() throws Exception {
      try (RawTarget target = pausing("0.4");
          EntryInstance entry = start(target);
          RawCaller caller = new RawCaller(entry.port())) {
        caller.send("POST", "/team/open/r", "", KEY);
        int before = target.requests().size();
        Thread.sleep(600);
        caller.send("POST", "/team/open/r", "", KEY);
        assertThat(target.requests().size()).isGreaterThan(before);
      }
    }

    // Nonsensical values neither stop the instance nor count as a pause.
    @ParameterizedTest
    @ValueSource(strings = {"-5", "soon", "Wed, 21 Oct 2065 07:28:00 GMT", ""})
    void isIgnoredWhenItIsNoNumberOfSeconds(String retryAfter) throws Exception {
      try (RawTarget target = pausing(retryAfter);
          EntryInstance entry = start(target);
          RawCaller caller = new RawCaller(entry.port())) {
        RawTarget.Message response = caller.send("POST", "/team/open/r", "", KEY);
        assertThat(response.header("x-bergamotcross-outcome")).isEqualTo("not-run");
        assertThat(target.requests().size()).isGreaterThan(1);
      }
    }
  }
}
