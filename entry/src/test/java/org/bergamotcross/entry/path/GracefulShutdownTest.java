package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a shutdown that drops requests or misreports them (invariants 7 and 10). */
class GracefulShutdownTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);

  @Nested
  class UnderLoad {
    @Test
    void dropsNoRequest() throws Exception {
      AtomicInteger answered = new AtomicInteger();
      RawTarget.RequestHandler busy =
          (connection, request) -> {
            // Some ms of work keep requests running and queued when the shutdown starts.
            LockSupport.parkNanos(Duration.ofMillis(5).toNanos());
            connection.write(RawTarget.ok(request.name()));
          };
      try (RawTarget target = new RawTarget(busy);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
        List<Future<String>> callers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
          String name = "caller-" + i;
          callers.add(threads.submit(() -> sendUntilRefused(entry.port(), name, answered)));
        }
        Polling.until("the load runs", () -> answered.get() > 300);
        entry.stop(Duration.ofSeconds(30));
        for (Future<String> caller : callers) {
          assertThat(caller.get()).isAnyOf("stopping/not-run", "connection refused");
        }
        assertThat(entry.openRequests().requestCount()).isEqualTo(0);
        assertThat(target.requests().size()).isEqualTo(answered.get());
      }
    }

    /** Sends requests, reconnecting after {@code Connection: close}, until one is refused. */
    private String sendUntilRefused(int port, String name, AtomicInteger answered)
        throws Exception {
      for (int i = 0; true; ) {
        try (RawCaller caller = new RawCaller(port)) {
          boolean open = true;
          while (open) {
            RawTarget.Message response = caller.get("/team/open/" + name + "-" + i, KEY);
            if (RawCaller.status(response) != 200) {
              assertThat(response.header("connection")).isEqualTo("close");
              return RawCaller.refusalAndOutcome(response);
            }
            assertThat(response.body()).isEqualTo(name + "-" + i);
            answered.incrementAndGet();
            i++;
            open = !response.header("connection").equals("close");
          }
        } catch (ConnectException e) {
          return "connection refused";
        }
      }
    }
  }

  @Nested
  class LateInTheGracePeriod {
    // Guards against a request that is passed on although it can't end before the stop does: it
    // would be cut without a response, and may not be repeated.
    @Test
    void requestsThatCannotEndInTimeAreRefusedAsNotRun() throws Exception {
      RawTarget.RequestHandler slow =
          (connection, request) -> {
            Thread.sleep(500);
            connection.write(RawTarget.ok(request.name()));
          };
      try (RawTarget target = new RawTarget(slow);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        for (int i = 0; i < 3; i++) {
          assertThat(caller.send("POST", "/team/open/r", "", KEY).body()).isEqualTo("r");
        }
        entry.stopWithAcceptPeriod(Duration.ofMillis(300), Duration.ofMillis(300));
        RawTarget.Message refused = caller.send("POST", "/team/open/late", "", KEY);
        assertThat(RawCaller.refusalAndOutcome(refused)).isEqualTo("stopping/not-run");
        assertThat(refused.header("connection")).isEqualTo("close");
        assertThat(target.requests()).hasSize(3);
      }
    }
  }

  @Nested
  class AtTheDeadline {
    @Test
    void droppedRequestsReportTheirOutcome() throws Exception {
      CountDownLatch never = new CountDownLatch(1);
      try (RawTarget target = new RawTarget((connection, request) -> never.await());
          EntryInstance entry = EntryInstance.start(List.of(target.port()), 4096, 1);
          RawCaller sent = new RawCaller(entry.port());
          RawCaller waiting = new RawCaller(entry.port());
          RawCaller late = new RawCaller(entry.port())) {
        sent.sendRequest("GET /team/open/sent HTTP/1.1", "", KEY);
        Polling.until("the only slot is in use", () -> target.requests().size() == 1);
        waiting.sendRequest("GET /team/open/waiting HTTP/1.1", "", KEY);
        Polling.until("both requests are open", () -> entry.openRequests().requestCount() == 2);
        entry.stop(Duration.ofSeconds(30));
        assertThat(RawCaller.refusalAndOutcome(late.get("/team/open/late", KEY)))
            .isEqualTo("stopping/not-run");
        entry.stop(Duration.ZERO);
        assertThat(RawCaller.refusalAndOutcome(sent.read())).isEqualTo("target-failed/unknown");
        assertThat(RawCaller.refusalAndOutcome(waiting.read())).isEqualTo("stopping/not-run");
        assertThat(target.requests()).hasSize(1);
      }
    }
  }
}
