package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against settings of header names and target guarantees that have no effect. */
class ConfiguredHeadersTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);
  private static final String SECTIONS =
      """
      [headers]
      request-id = X-Try
      timeout = X-Patience-Ms
      organisation = X-Customer
      deadline = none
      time-left = X-Patience-Ms
      attempt = none
      expected-target = X-Target
      not-run = X-Untouched
      [targets]
      buffered-response-bytes = 1000
      request-id-echoed = yes
      responses-may-end-with-connection = yes
      [callers]
      retry-after-fractions = yes
      """;

  private static EntryInstance start(RawTarget... targets) throws Exception {
    return EntryInstance.startWith(SECTIONS, Arrays.stream(targets).map(RawTarget::port).toList());
  }

  private static String ok(RawTarget.Message request, String body) {
    return "HTTP/1.1 200 OK\r\nX-Try: "
        + request.header("x-try")
        + "\r\nX-Seal: s\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  @Nested
  class Requests {
    @Test
    void carryTheConfiguredHeadersAndTheOriginalRequestLine() throws Exception {
      RawTarget.RequestHandler seal = (connection, request) -> connection.write(ok(request, "x"));
      try (RawTarget target = new RawTarget(seal);
          EntryInstance entry = start(target);
          RawCaller caller = new RawCaller(entry.port())) {
        RawTarget.Message response =
            caller.get(
                "/team/open/a%2Fb?q=%20x&y",
                KEY, "X-Try: t1", "X-Patience-Ms: 3000", "X-Customer: forged");
        assertThat(response.header("x-seal")).isEqualTo("s");
        assertThat(response.header("x-try")).isEqualTo("t1");
        RawTarget.Message seen = target.requests().getFirst();
        assertThat(seen.head()).startsWith("GET /team/open/a%2Fb?q=%20x&y HTTP/1.1");
        assertThat(seen.header("x-try")).isEqualTo("t1");
        assertThat(seen.header("x-customer")).isEqualTo("team/customer");
        assertThat(seen.header("x-target")).isEqualTo("target-" + target.port());
        assertThat(Integer.parseInt(seen.header("x-patience-ms"))).isAtMost(3000);
        assertThat(Integer.parseInt(seen.header("x-patience-ms"))).isAtLeast(1000);
        assertThat(seen.header("authorization")).isEmpty();
        assertThat(seen.header("x-attempt")).isEmpty();
      }
    }
  }

  @Nested
  class InvalidResponses {
    /** Answers the first request with an invalid response and all others with a valid one. */
    private RawTarget.RequestHandler invalidFirstResponse(RawTarget.RequestHandler invalid) {
      AtomicInteger requests = new AtomicInteger();
      return (connection, request) -> {
        if (requests.getAndIncrement() == 0) {
          invalid.handle(connection, request);
        } else {
          connection.write(ok(request, "well"));
        }
      };
    }

    private void checkDiscarded(RawTarget.RequestHandler invalid) throws Exception {
      try (RawTarget target = new RawTarget(invalidFirstResponse(invalid));
          EntryInstance entry = start(target);
          RawCaller caller = new RawCaller(entry.port())) {
        assertThat(caller.get("/team/open/r", KEY, "X-Try: t1").body()).isEqualTo("well");
        assertThat(target.requests()).hasSize(2);
      }
      try (RawTarget target = new RawTarget(invalidFirstResponse(invalid));
          EntryInstance entry = start(target);
          RawCaller caller = new RawCaller(entry.port())) {
        RawTarget.Message order = caller.send("POST", "/team/open/r", "", KEY, "X-Try: t1");
        assertThat(RawCaller.refusalAndOutcome(order)).isEqualTo("target-failed/unknown");
        assertThat(target.requests()).hasSize(1);
      }
    }

    // Guards against a late response to an earlier request that is taken for the current one.
    @Test
    void toAnotherRequestAreDiscarded() throws Exception {
      checkDiscarded(
          (connection, request) ->
              connection.write(ok(request, "late").replace("X-Try: t1", "X-Try: t0")));
    }

    // Guards against a late copy of a response that is cut in the middle of its head: the start of
    // the copy and the response to the current request are parsed as one response.
    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 200 O",
          "HTTP/1.1 200 OK",
          "HTTP/1.1 200 OK\r\nX-Se",
          "HTTP/1.1 200 OK\r\nX-Seal: la",
          "HTTP/1.1 200 OK\r\nX-Seal: late\r\nX-Try: t"
        })
    void thatContinueACutHeadAreDiscarded(String cutHead) throws Exception {
      checkDiscarded(
          (connection, request) ->
              connection.write(
                  cutHead + ok(request, "failed").replace("200 OK", "500 Internal Server Error")));
    }

    @Test
    void withoutTheRequestIdAreDiscarded() throws Exception {
      checkDiscarded((connection, request) -> connection.write(RawTarget.ok("unnamed")));
    }

    // Guards against a caller that gets a truncated response although the request could be retried.
    @Test
    void thatAreTruncatedAreDiscarded() throws Exception {
      checkDiscarded(
          (connection, request) -> {
            connection.write(ok(request, "0123456789").substring(0, 70));
            connection.close();
          });
    }

    // Guards against reporting "not run" for a request that the target may have run.
    @Test
    void withoutTheNotRunHeaderDoNotMeanNotRun() throws Exception {
      RawTarget.RequestHandler busy =
          (connection, request) ->
              connection.write(ok(request, "busy").replace("200 OK", "503 Busy"));
      try (RawTarget target = new RawTarget(busy);
          EntryInstance entry = start(target);
          RawCaller caller = new RawCaller(entry.port())) {
        RawTarget.Message order = caller.send("POST", "/team/open/r", "", KEY, "X-Try: t1");
        assertThat(RawCaller.refusalAndOutcome(order)).isEqualTo("target-failed/unknown");
        assertThat(RawCaller.status(order)).isEqualTo(502);
      }
    }
  }

  /**
   * Guards against a response that the target broke off and that looks complete to the caller. The
   * target ends the connection after each possible part of a response.
   */
  @Nested
  class BrokenOffResponses {
    private static final String WITH_LENGTH =
        "HTTP/1.1 200 OK\r\nX-Try: t1\r\nX-Seal: s\r\nContent-Length: 12\r\n\r\nwhole answer";
    private static final String IN_CHUNKS =
        "HTTP/1.1 200 OK\r\nX-Try: t1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    private static final String UNTIL_CLOSE =
        "HTTP/1.1 200 OK\r\nX-Try: t1\r\nConnection: close\r\nX-Seal: s\r\n\r\n";

    @ParameterizedTest
    @ValueSource(strings = {WITH_LENGTH, IN_CHUNKS, UNTIL_CLOSE})
    void neverLookComplete(String response) throws Exception {
      checkEachPart(response, false);
    }

    @ParameterizedTest
    @ValueSource(strings = {WITH_LENGTH, IN_CHUNKS, UNTIL_CLOSE})
    void neverLookCompleteAfterAReset(String response) throws Exception {
      checkEachPart(response, true);
    }

    @ParameterizedTest
    @ValueSource(strings = {WITH_LENGTH, IN_CHUNKS, UNTIL_CLOSE})
    void neverLookCompleteOnAReusedConnection(String response) throws Exception {
      AtomicInteger length = new AtomicInteger();
      RawTarget.RequestHandler breaksOffSecond =
          (connection, request) -> {
            if (request.name().equals("first")) {
              connection.write(ok(request, "first"));
            } else {
              connection.write(response.substring(0, length.get()));
              connection.close();
            }
          };
      try (RawTarget target = new RawTarget(breaksOffSecond);
          EntryInstance entry = start(target);
          RawCaller caller = new RawCaller(entry.port())) {
        for (int i = 1; i < response.length(); i++) {
          length.set(i);
          assertThat(caller.send("POST", "/team/open/first", "", KEY).body()).isEqualTo("first");
          RawTarget.Message order = caller.send("POST", "/team/open/r", "", KEY, "X-Try: t1");
          assertWithMessage("%s of %s characters", i, response.length())
              .that(RawCaller.refusalAndOutcome(order))
              .isEqualTo("target-failed/unknown");
        }
      }
    }

    // The body is larger than what is read before the response is delivered.
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 5000", "Transfer-Encoding: chunked"})
    void neverLookCompleteWhenTheyAreStreamed(String framing) throws Exception {
      String head = "HTTP/1.1 200 OK\r\nX-Try: t1\r\n" + framing + "\r\n\r\n";
      String body = framing.endsWith("chunked") ? "1388\r\n" : "";
      RawTarget.RequestHandler breaksOff =
          (connection, request) -> {
            connection.write(head + body + "x".repeat(3_000));
            connection.close();
          };
      try (RawTarget target = new RawTarget(breaksOff);
          EntryInstance entry = start(target);
          RawCaller caller = new RawCaller(entry.port())) {
        try {
          RawTarget.Message cut = caller.send("POST", "/team/open/r", "", KEY, "X-Try: t1");
          if (RawCaller.status(cut) == 200) {
            assertThat(cut.header("content-length")).isEqualTo("5000");
            assertThat(cut.body().length()).isLessThan(5_000);
          } else {
            assertThat(RawCaller.refusalAndOutcome(cut)).isEqualTo("target-failed/unknown");
          }
        } catch (IOException e) {
          // The caller's connection ended within the body.
          assertThat(e).isNotNull();
        }
      }
    }

    private void checkEachPart(String response, boolean reset) throws Exception {
      AtomicInteger length = new AtomicInteger();
      RawTarget.RequestHandler breaksOff =
          (connection, request) -> {
            connection.write(response.substring(0, length.get()));
            if (reset) {
              connection.socket().setSoLinger(true, 0);
            }
            connection.close();
          };
      try (RawTarget target = new RawTarget(breaksOff);
          EntryInstance entry = start(target)) {
        for (int i = 1; i < response.length(); i++) {
          length.set(i);
          try (RawCaller caller = new RawCaller(entry.port())) {
            RawTarget.Message order = caller.send("POST", "/team/open/r", "", KEY, "X-Try: t1");
            assertWithMessage("%s of %s characters", i, response.length())
                .that(RawCaller.refusalAndOutcome(order))
                .isEqualTo("target-failed/unknown");
          }
        }
      }
    }
  }

  @Nested
  class CloseDelimitedResponses {
    @Test
    void endWithTheirConnection() throws Exception {
      RawTarget.RequestHandler unframed =
          (connection, request) -> {
            connection.write(
                ok(request, "whole").replace("Content-Length: 5\r\n", "Connection: close\r\n"));
            connection.close();
          };
      try (RawTarget target = new RawTarget(unframed);
          EntryInstance entry = start(target);
          RawCaller caller = new RawCaller(entry.port())) {
        // Repeated because the ends of connection and body may be reported in either order.
        for (int i = 0; i < 50; i++) {
          RawTarget.Message response = caller.send("POST", "/team/open/r" + i, "", KEY);
          assertThat(response.body()).isEqualTo("whole");
          assertThat(response.header("content-length")).isEqualTo("5");
        }
      }
    }

    // Guards against a response that was cut off by a reset and looks complete.
    @Test
    void thatAreResetAreNotComplete() throws Exception {
      RawTarget.RequestHandler reset =
          (connection, request) -> {
            connection.write(
                ok(request, "whole").replace("Content-Length: 5\r\n", "Connection: close\r\n"));
            connection.socket().setSoLinger(true, 0);
            connection.close();
          };
      try (RawTarget target = new RawTarget(reset);
          EntryInstance entry = start(target);
          RawCaller caller = new RawCaller(entry.port())) {
        RawTarget.Message order = caller.send("POST", "/team/open/r", "", KEY, "X-Try: t1");
        assertThat(RawCaller.refusalAndOutcome(order)).isEqualTo("target-failed/unknown");
      }
    }
  }

  @Nested
  class MisdirectedRequests {
    // Guards against a failed request after another target has taken over the address.
    @Test
    void requestsGoToAnotherTarget() throws Exception {
      RawTarget.RequestHandler misdirected =
          (connection, request) ->
              connection.write("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
      RawTarget.RequestHandler right =
          (connection, request) -> connection.write(ok(request, "right"));
      try (RawTarget wrongTarget = new RawTarget(misdirected);
          RawTarget target = new RawTarget(right);
          EntryInstance entry = start(wrongTarget, target);
          RawCaller caller = new RawCaller(entry.port())) {
        for (int i = 0; i < 4; i++) {
          RawTarget.Message order = caller.send("POST", "/team/open/r" + i, "", KEY);
          assertThat(order.body()).isEqualTo("right");
        }
        assertThat(target.requests()).hasSize(4);
      }
    }
  }

  @Nested
  class GracefulShutdown {
    // Guards against refusing callers before their load balancer can detect the shutdown.
    @Test
    void keepsServingButClosesConnections() throws Exception {
      RawTarget.RequestHandler seal = (connection, request) -> connection.write(ok(request, "x"));
      try (RawTarget target = new RawTarget(seal);
          EntryInstance entry = start(target);
          RawCaller open = new RawCaller(entry.port());
          RawCaller idle = new RawCaller(entry.port())) {
        assertThat(open.get("/team/open/a", KEY).header("connection")).isEmpty();
        entry.stopWithAcceptPeriod(Duration.ofSeconds(5), Duration.ofSeconds(10));
        RawTarget.Message response = open.get("/team/open/b", KEY);
        assertThat(RawCaller.status(response)).isEqualTo(200);
        assertThat(response.header("connection")).isEqualTo("close");
        try (RawCaller late = new RawCaller(entry.port())) {
          assertThat(RawCaller.status(late.get("/team/open/c", KEY))).isEqualTo(200);
        }
        entry.stop(Duration.ofSeconds(10));
        RawTarget.Message refused = idle.get("/team/open/d", KEY);
        assertThat(RawCaller.refusalAndOutcome(refused)).isEqualTo("stopping/not-run");
        assertThat(refused.header("retry-after")).isEqualTo("0.050");
      }
    }
  }
}
