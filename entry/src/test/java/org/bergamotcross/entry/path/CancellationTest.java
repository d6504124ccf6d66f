package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against targets that keep working on a request whose caller no longer waits. */
class CancellationTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);

  @Nested
  class CallerDisconnects {
    @Test
    void connectionToTheTargetIsClosed() throws Exception {
      BlockingQueue<Boolean> cancelled = new ArrayBlockingQueue<>(4);
      try (RawTarget target = neverResponding(cancelled);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        caller.sendRequest("POST /team/open/x HTTP/1.1\r\nContent-Length: 0", "", KEY);
        Polling.until("the request runs", () -> target.requests().size() == 1);
        caller.disconnect();
        assertThat(cancelled.poll(5, TimeUnit.SECONDS)).isTrue();
        Polling.until("nothing is open", () -> entry.openRequests().requestCount() == 0);
      }
    }

    @Test
    void connectionToTheTargetIsClosedDuringTheResponseBody() throws Exception {
      BlockingQueue<Boolean> cancelled = new ArrayBlockingQueue<>(4);
      RawTarget.RequestHandler halfBody =
          (connection, request) -> {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf");
            cancelled.add(connection.awaitClose());
          };
      try (RawTarget target = new RawTarget(halfBody);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        caller.sendRequest("GET /team/open/x HTTP/1.1", "", KEY);
        Polling.until("the request runs", () -> target.requests().size() == 1);
        caller.reset();
        assertThat(cancelled.poll(5, TimeUnit.SECONDS)).isTrue();
      }
    }

    @Test
    void queuedRequestIsNeverSent() throws Exception {
      BlockingQueue<Boolean> cancelled = new ArrayBlockingQueue<>(4);
      try (RawTarget target = neverResponding(cancelled);
          EntryInstance entry = EntryInstance.start(List.of(target.port()), 4096, 1);
          RawCaller first = new RawCaller(entry.port());
          RawCaller second = new RawCaller(entry.port())) {
        first.sendRequest("GET /team/open/runs HTTP/1.1", "", KEY);
        Polling.until("the only slot is in use", () -> target.requests().size() == 1);
        second.sendRequest("GET /team/open/waits HTTP/1.1", "", KEY);
        Polling.until("both requests are open", () -> entry.openRequests().requestCount() == 2);
        second.disconnect();
        Polling.until("the second request ended", () -> entry.openRequests().requestCount() == 1);
        first.disconnect();
        assertThat(cancelled.poll(5, TimeUnit.SECONDS)).isTrue();
        Polling.until("nothing is open", () -> entry.openRequests().requestCount() == 0);
        assertThat(target.requests()).hasSize(1);
      }
    }
  }

  @Nested
  class Deadline {
    @Test
    void connectionToTheTargetIsClosed() throws Exception {
      BlockingQueue<Boolean> cancelled = new ArrayBlockingQueue<>(4);
      try (RawTarget target = neverResponding(cancelled);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        RawTarget.Message refused =
            caller.send("POST", "/team/open/x", "", KEY, "X-Request-Timeout-Ms: 2000");
        assertThat(RawCaller.refusalAndOutcome(refused)).isEqualTo("deadline-after-send/unknown");
        assertThat(RawCaller.status(refused)).isEqualTo(504);
        assertThat(cancelled.poll(5, TimeUnit.SECONDS)).isTrue();
      }
    }
  }

  @Nested
  class Bodies {
    @Test
    void largerThanTheLimitReachNoTarget() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        caller.sendRequest("POST /team/open/x HTTP/1.1\r\nContent-Length: 100001", "", KEY);
        RawTarget.Message refused = caller.read();
        assertThat(RawCaller.refusalAndOutcome(refused)).isEqualTo("body-too-large/not-run");
        assertThat(RawCaller.status(refused)).isEqualTo(413);
        assertThat(target.requests()).isEmpty();
      }
    }

    @Test
    void foundTooLargeWhileStreamedAreNeverCompleteAtTheTarget() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        caller.sendRequest("POST /team/open/x HTTP/1.1\r\nTransfer-Encoding: chunked", "", KEY);
        String chunk = "2710\r\n" + "x".repeat(10_000) + "\r\n";
        for (int i = 0; i < 12; i++) {
          caller.write(chunk);
        }
        assertThat(RawCaller.refusalAndOutcome(caller.read())).isEqualTo("body-too-large/unknown");
        assertThat(target.requests()).isEmpty();
      }
    }

    @Test
    void areStreamedInBothDirections() throws Exception {
      RawTarget.RequestHandler echoBody =
          (connection, request) -> connection.write(RawTarget.ok(request.body()));
      try (RawTarget target = new RawTarget(echoBody);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        String body = "0123456789".repeat(9_000);
        assertThat(caller.send("POST", "/team/open/x", body, KEY).body()).isEqualTo(body);
        assertThat(caller.send("POST", "/team/open/x", "next", KEY).body()).isEqualTo("next");
      }
    }
  }

  /** Starts a target that never responds and records whether its connection was closed. */
  private static RawTarget neverResponding(BlockingQueue<Boolean> closed) throws Exception {
    return new RawTarget((connection, request) -> closed.add(connection.awaitClose()));
  }
}
