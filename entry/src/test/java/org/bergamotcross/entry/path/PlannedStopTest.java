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

/** Guards against a planned stop that cuts requests or misreports them (invariants 7 and 10). */
class PlannedStopTest {
  private static final String KEY = Caller.key(EntryProcess.KEY);

  @Nested
  class UnderLoad {
    @Test
    void cutsNoRequest() throws Exception {
      AtomicInteger answered = new AtomicInteger();
      RawTarget.Behaviour busy =
          (connection, request) -> {
            // Work of a few ms keeps requests in hand and in the queue when the stop starts.
            LockSupport.parkNanos(Duration.ofMillis(5).toNanos());
            connection.write(RawTarget.ok(request.name()));
          };
      try (RawTarget target = new RawTarget(busy);
          EntryProcess entry = EntryProcess.start(List.of(target.port()));
          ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
        List<Future<String>> callers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
          String name = "caller-" + i;
          callers.add(threads.submit(() -> untilRefused(entry.port(), name, answered)));
        }
        Await.until("the load runs", () -> answered.get() > 300);
        entry.stop(Duration.ofSeconds(30));
        for (Future<String> caller : callers) {
          assertThat(caller.get()).isAnyOf("stopping/not-run", "connection refused");
        }
        assertThat(entry.open().requests()).isEqualTo(0);
        assertThat(target.received().size()).isEqualTo(answered.get());
      }
    }

    /** Sends requests and opens a new connection when told to, until the instance takes none. */
    private String untilRefused(int port, String name, AtomicInteger answered) throws Exception {
      for (int i = 0; true; ) {
        try (Caller caller = new Caller(port)) {
          boolean open = true;
          while (open) {
            RawTarget.Received response = caller.get("/team/open/" + name + "-" + i, KEY);
            if (Caller.status(response) != 200) {
              assertThat(response.header("connection")).isEqualTo("close");
              return Caller.refusal(response);
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
  class AtTheLimit {
    @Test
    void cutRequestsAreReportedAsTheyAre() throws Exception {
      CountDownLatch never = new CountDownLatch(1);
      try (RawTarget target = new RawTarget((connection, request) -> never.await());
          EntryProcess entry = EntryProcess.start(List.of(target.port()), 4096, 1);
          Caller sent = new Caller(entry.port());
          Caller waiting = new Caller(entry.port());
          Caller late = new Caller(entry.port())) {
        sent.start("GET /team/open/sent HTTP/1.1", "", KEY);
        Await.until("the only slot is in use", () -> target.received().size() == 1);
        waiting.start("GET /team/open/waiting HTTP/1.1", "", KEY);
        Await.until("both requests are open", () -> entry.open().requests() == 2);
        entry.stop(Duration.ofSeconds(30));
        assertThat(Caller.refusal(late.get("/team/open/late", KEY))).isEqualTo("stopping/not-run");
        entry.stop(Duration.ZERO);
        assertThat(Caller.refusal(sent.read())).isEqualTo("target-failed/unknown");
        assertThat(Caller.refusal(waiting.read())).isEqualTo("stopping/not-run");
        assertThat(target.received()).hasSize(1);
      }
    }
  }
}
