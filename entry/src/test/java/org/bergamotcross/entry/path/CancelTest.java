package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against work that goes on at a target although nobody waits for it. */
class CancelTest {
  private static final String KEY = Caller.key(EntryProcess.KEY);

  @Nested
  class CallerLeaves {
    @Test
    void targetSeesTheCancel() throws Exception {
      BlockingQueue<Boolean> cancelled = new ArrayBlockingQueue<>(4);
      try (RawTarget target = silent(cancelled);
          EntryProcess entry = EntryProcess.start(List.of(target.port()));
          Caller caller = new Caller(entry.port())) {
        caller.start("POST /team/open/x HTTP/1.1\r\nContent-Length: 0", "", KEY);
        Await.until("the request runs", () -> target.received().size() == 1);
        caller.leave();
        assertThat(cancelled.poll(5, TimeUnit.SECONDS)).isTrue();
        Await.until("nothing is open", () -> entry.open().requests() == 0);
      }
    }

    @Test
    void targetSeesTheCancelWhileItSendsTheBody() throws Exception {
      BlockingQueue<Boolean> cancelled = new ArrayBlockingQueue<>(4);
      RawTarget.Behaviour halfBody =
          (connection, request) -> {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf");
            cancelled.add(connection.awaitClose());
          };
      try (RawTarget target = new RawTarget(halfBody);
          EntryProcess entry = EntryProcess.start(List.of(target.port()));
          Caller caller = new Caller(entry.port())) {
        caller.start("GET /team/open/x HTTP/1.1", "", KEY);
        Await.until("the request runs", () -> target.received().size() == 1);
        caller.abort();
        assertThat(cancelled.poll(5, TimeUnit.SECONDS)).isTrue();
      }
    }

    @Test
    void requestThatWaitsIsNeverSent() throws Exception {
      BlockingQueue<Boolean> cancelled = new ArrayBlockingQueue<>(4);
      try (RawTarget target = silent(cancelled);
          EntryProcess entry = EntryProcess.start(List.of(target.port()), 4096, 1);
          Caller first = new Caller(entry.port());
          Caller second = new Caller(entry.port())) {
        first.start("GET /team/open/runs HTTP/1.1", "", KEY);
        Await.until("the only slot is in use", () -> target.received().size() == 1);
        second.start("GET /team/open/waits HTTP/1.1", "", KEY);
        Await.until("both requests are open", () -> entry.open().requests() == 2);
        second.leave();
        Await.until("the second request ended", () -> entry.open().requests() == 1);
        first.leave();
        assertThat(cancelled.poll(5, TimeUnit.SECONDS)).isTrue();
        Await.until("nothing is open", () -> entry.open().requests() == 0);
        assertThat(target.received()).hasSize(1);
      }
    }
  }

  @Nested
  class Deadline {
    @Test
    void targetSeesTheCancel() throws Exception {
      BlockingQueue<Boolean> cancelled = new ArrayBlockingQueue<>(4);
      try (RawTarget target = silent(cancelled);
          EntryProcess entry = EntryProcess.start(List.of(target.port()));
          Caller caller = new Caller(entry.port())) {
        RawTarget.Received refused =
            caller.send("POST", "/team/open/x", "", KEY, "X-Request-Timeout-Ms: 2000");
        assertThat(Caller.refusal(refused)).isEqualTo("deadline-after-send/unknown");
        assertThat(Caller.status(refused)).isEqualTo(504);
        assertThat(cancelled.poll(5, TimeUnit.SECONDS)).isTrue();
      }
    }
  }

  @Nested
  class Bodies {
    @Test
    void largerThanTheLimitReachNoTarget() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryProcess entry = EntryProcess.start(List.of(target.port()));
          Caller caller = new Caller(entry.port())) {
        caller.start("POST /team/open/x HTTP/1.1\r\nContent-Length: 100001", "", KEY);
        RawTarget.Received refused = caller.read();
        assertThat(Caller.refusal(refused)).isEqualTo("body-too-large/not-run");
        assertThat(Caller.status(refused)).isEqualTo(413);
        assertThat(target.received()).isEmpty();
      }
    }

    @Test
    void foundTooLargeWhileBeingSentNeverLookWholeToTheTarget() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryProcess entry = EntryProcess.start(List.of(target.port()));
          Caller caller = new Caller(entry.port())) {
        caller.start("POST /team/open/x HTTP/1.1\r\nTransfer-Encoding: chunked", "", KEY);
        String chunk = "2710\r\n" + "x".repeat(10_000) + "\r\n";
        for (int i = 0; i < 12; i++) {
          caller.write(chunk);
        }
        assertThat(Caller.refusal(caller.read())).isEqualTo("body-too-large/unknown");
        assertThat(target.received()).isEmpty();
      }
    }

    @Test
    void areStreamedInBothDirections() throws Exception {
      RawTarget.Behaviour echoBody =
          (connection, request) -> connection.write(RawTarget.ok(request.body()));
      try (RawTarget target = new RawTarget(echoBody);
          EntryProcess entry = EntryProcess.start(List.of(target.port()));
          Caller caller = new Caller(entry.port())) {
        String body = "0123456789".repeat(9_000);
        assertThat(caller.send("POST", "/team/open/x", body, KEY).body()).isEqualTo(body);
        assertThat(caller.send("POST", "/team/open/x", "next", KEY).body()).isEqualTo("next");
      }
    }
  }

  /** A target that never answers and tells whether its connection was closed. */
  private static RawTarget silent(BlockingQueue<Boolean> closed) throws Exception {
    return new RawTarget((connection, request) -> closed.add(connection.awaitClose()));
  }
}
