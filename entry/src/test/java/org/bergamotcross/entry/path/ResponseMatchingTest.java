package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against truncated responses and responses to other requests (invariant 6). */
class ResponseMatchingTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);

  @Nested
  class ConcurrentResponses {
    @Test
    void responsesInReverseOrderReachTheirOwnCallers() throws Exception {
      CountDownLatch secondAnswered = new CountDownLatch(1);
      RawTarget.RequestHandler reverse =
          (connection, request) -> {
            if (request.name().equals("first")) {
              secondAnswered.await();
            }
            connection.write(RawTarget.ok(request.name()));
          };
      try (RawTarget target = new RawTarget(reverse);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller first = new RawCaller(entry.port());
          RawCaller second = new RawCaller(entry.port())) {
        first.sendRequest("GET /team/open/first HTTP/1.1", "", KEY, "X-Request-Id: same");
        Polling.until("the first request runs", () -> target.requests().size() == 1);
        assertThat(second.get("/team/open/second", KEY, "X-Request-Id: same").body())
            .isEqualTo("second");
        secondAnswered.countDown();
        assertThat(first.read().body()).isEqualTo("first");
      }
    }

    @Test
    void surplusResponseIsDiscarded() throws Exception {
      RawTarget.RequestHandler twice =
          (connection, request) ->
              connection.write(RawTarget.ok(request.name()) + RawTarget.ok("surplus"));
      try (RawTarget target = new RawTarget(twice);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        for (int i = 0; i < 5; i++) {
          RawTarget.Message response = caller.send("POST", "/team/open/r" + i, "", KEY);
          assertThat(response.body()).doesNotContain("surplus");
        }
      }
    }

    @Test
    void thousandConcurrentCallersGetTheirOwnResponses() throws Exception {
      List<RawTarget> targets = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        targets.add(RawTarget.echo());
      }
      try (EntryInstance entry =
              EntryInstance.start(targets.stream().map(RawTarget::port).toList());
          ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
        Map<String, Future<String>> answers = new HashMap<>();
        CountDownLatch start = new CountDownLatch(1);
        for (int i = 0; i < 1_000; i++) {
          String name = "request-" + i;
          answers.put(name, threads.submit(() -> answer(entry.port(), name, start)));
        }
        start.countDown();
        for (Map.Entry<String, Future<String>> answer : answers.entrySet()) {
          assertThat(answer.getValue().get()).isEqualTo(answer.getKey());
        }
      } finally {
        for (RawTarget target : targets) {
          target.close();
        }
      }
    }

    private String answer(int port, String name, CountDownLatch start) throws Exception {
      try (RawCaller caller = new RawCaller(port)) {
        start.await();
        return caller.get("/team/open/" + name, KEY).body();
      }
    }
  }

  @Nested
  class LateResponses {
    @Test
    void responseAfterTheDeadlineIsDiscarded() throws Exception {
      CountDownLatch deadlinePassed = new CountDownLatch(1);
      RawTarget.RequestHandler late =
          (connection, request) -> {
            if (request.name().equals("slow")) {
              deadlinePassed.await();
            }
            connection.write(RawTarget.ok(request.name()));
          };
      try (RawTarget target = new RawTarget(late);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        RawTarget.Message refused =
            caller.get("/team/open/slow", KEY, "X-Request-Timeout-Ms: 2000");
        assertThat(RawCaller.refusalAndOutcome(refused)).isEqualTo("deadline-after-send/unknown");
        deadlinePassed.countDown();
        for (int i = 0; i < 10; i++) {
          assertThat(caller.get("/team/open/next-" + i, KEY).body()).isEqualTo("next-" + i);
        }
      }
    }
  }

  @Nested
  class TruncatedResponses {
    @Test
    void bodyWithContentLengthNeverLooksComplete() throws Exception {
      String start = "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n";
      try {
        RawTarget.Message cut = respond(start + "x".repeat(100_000));
        assertThat(cut.body().length()).isLessThan(200_000);
      } catch (SocketException e) {
        // A reset shows the caller that the body is incomplete, just as a short body does.
        assertThat(e).hasMessageThat().isEqualTo("Connection reset");
      }
    }

    @Test
    void chunkedBodyNeverLooksComplete() {
      assertThrows(
          IOException.class,
          () -> respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n"));
    }

    @Test
    void closeDelimitedBodyIsRefused() throws Exception {
      assertThat(RawCaller.refusalAndOutcome(respond("HTTP/1.1 200 OK\r\n\r\npart")))
          .isEqualTo("target-failed/unknown");
    }

    @Test
    void headIsReportedAsUnknown() throws Exception {
      assertThat(RawCaller.refusalAndOutcome(respond("HTTP/1.1 200 OK\r\nContent-")))
          .isEqualTo("target-failed/unknown");
    }

    /** Sends a POST to a target that writes the text and closes the connection. */
    private RawTarget.Message respond(String text) throws Exception {
      RawTarget.RequestHandler breaks =
          (connection, request) -> {
            connection.write(text);
            connection.close();
          };
      try (RawTarget target = new RawTarget(breaks);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        return caller.send("POST", "/team/open/x", "body", KEY);
      }
    }
  }
}
