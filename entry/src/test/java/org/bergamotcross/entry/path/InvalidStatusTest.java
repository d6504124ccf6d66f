package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a status that HTTP does not allow and that a caller gets as an answer. */
class InvalidStatusTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);

  private static String response(String status) {
    return "HTTP/1.1 " + status + "\r\nContent-Length: 3\r\n\r\nbad";
  }

  /** Answers the first request with the status and all others with a valid response. */
  private static RawTarget target(String status) throws Exception {
    AtomicInteger requests = new AtomicInteger();
    return new RawTarget(
        (connection, request) ->
            connection.write(
                requests.getAndIncrement() == 0 ? response(status) : RawTarget.ok("well")));
  }

  static Stream<String> invalidStatuses() {
    return Stream.of(
        "000 Status",
        "000",
        "000 ",
        "0 Status",
        "00 Status",
        "099 Status",
        "099",
        "99 Status",
        "20 Status",
        "2000 Status",
        "600 Status",
        "600",
        "700 Status",
        "999 Status",
        "999",
        "2x0 Status",
        "abc Status",
        "-200 Status",
        "101 Switching Protocols",
        " 200 Status");
  }

  @Nested
  class OfARequestThatMayBeRepeated {
    @ParameterizedTest
    @MethodSource("org.bergamotcross.entry.path.InvalidStatusTest#invalidStatuses")
    void isRetried(String status) throws Exception {
      try (RawTarget target = target(status);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        assertThat(caller.get("/team/open/r", KEY).body()).isEqualTo("well");
        assertThat(target.requests()).hasSize(2);
      }
    }
  }

  @Nested
  class OfARequestThatMayNotBeRepeated {
    @ParameterizedTest
    @MethodSource("org.bergamotcross.entry.path.InvalidStatusTest#invalidStatuses")
    void leavesTheOutcomeUnknown(String status) throws Exception {
      try (RawTarget target = target(status);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        RawTarget.Message order = caller.send("POST", "/team/open/r", "", KEY);
        assertThat(RawCaller.status(order)).isEqualTo(502);
        assertThat(RawCaller.refusalAndOutcome(order)).isEqualTo("target-failed/unknown");
        assertThat(target.requests()).hasSize(1);
      }
    }
  }

  @Nested
  class Allowed {
    // Guards against a check that also discards statuses without a name of their own.
    @ParameterizedTest
    @ValueSource(strings = {"226", "299", "418", "499", "520", "599"})
    void isReturnedUnchanged(String status) throws Exception {
      try (RawTarget target = target(status + " Status");
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        RawTarget.Message answer = caller.send("POST", "/team/open/r", "", KEY);
        assertThat(RawCaller.status(answer)).isEqualTo(Integer.parseInt(status));
        assertThat(answer.body()).isEqualTo("bad");
      }
    }
  }

  @Nested
  class Interim {
    // Guards against an interim response that a caller gets as an answer.
    @ParameterizedTest
    @ValueSource(strings = {"100", "102", "103", "199"})
    void isNoAnswer(String status) throws Exception {
      RawTarget.RequestHandler interimFirst =
          (connection, request) -> {
            connection.write("HTTP/1.1 " + status + " Status\r\n\r\n");
            connection.write(RawTarget.ok("well"));
          };
      try (RawTarget target = new RawTarget(interimFirst);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        RawTarget.Message answer = caller.send("POST", "/team/open/r", "", KEY);
        assertThat(RawCaller.status(answer)).isAnyOf(200, 502);
      }
    }
  }
}
