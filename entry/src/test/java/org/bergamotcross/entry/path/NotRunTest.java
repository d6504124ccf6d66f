package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.core.admission.StoredAnswer;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.HealthView;
import org.bergamotcross.core.routing.TargetStatus;
import org.bergamotcross.entry.AdmissionInput;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.CallerRequest;
import org.bergamotcross.entry.RequestHandle;
import org.bergamotcross.entry.Topics;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.standin.FreePorts;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a refusal that says "not run" for a request that a target saw (invariant 7). */
class NotRunTest {
  private static final String KEY = Caller.key(EntryProcess.KEY);
  private static final String OTHER = Caller.key(EntryProcess.OTHER_KEY);

  @Nested
  class Admission {
    @Test
    void refusalsReachNoTarget() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryProcess entry = EntryProcess.start(List.of(target.port()))) {
        entry.configure(List.of(target.port()), 4, Set.of("withdrawn"));
        assertThat(refusal(entry, "/team/open/x")).isEqualTo("missing-key/not-run");
        assertThat(refusal(entry, "/team/open/x", Caller.key("nobody's")))
            .isEqualTo("unknown-key/not-run");
        assertThat(refusal(entry, "/team/open/x", Caller.key("withdrawn")))
            .isEqualTo("withdrawn-key/not-run");
        assertThat(refusal(entry, "/team/open/x", KEY, "X-Api-Key: " + EntryProcess.OTHER_KEY))
            .isEqualTo("conflicting-keys/not-run");
        assertThat(refusal(entry, "/team/private/x", OTHER))
            .isEqualTo("organisation-not-allowed/not-run");
        assertThat(refusal(entry, "/elsewhere", KEY)).isEqualTo("no-route/not-run");
        assertThat(refusal(entry, "/team/open/%2e%2e/private/x", OTHER))
            .isEqualTo("organisation-not-allowed/not-run");
        assertThat(refusal(entry, "/team/open/..%2fprivate/x", OTHER))
            .isEqualTo("no-route/not-run");
        assertThat(refusal(entry, "/team/open/x", KEY, "X-Request-Timeout-Ms: soon"))
            .isEqualTo("bad-request-header/not-run");
        assertThat(target.received()).isEmpty();
      }
    }

    @Test
    void fullRingRefusesWithoutRunning() throws Exception {
      CountDownLatch blocked = new CountDownLatch(1);
      List<Caller> callers = new ArrayList<>();
      try (RawTarget target = RawTarget.echo();
          EntryProcess entry = EntryProcess.start(List.of(target.port()), 32, 4);
          Caller last = new Caller(entry.port())) {
        Ring<AdmissionInput> ring = entry.kernel().context().ring(Topics.ADMISSION).orElseThrow();
        ring.offer(new AdmissionInput.Arrived(blocking(entry, blocked)));
        Await.until("the admission thread is blocked", () -> ring.size() == 0);
        for (int i = 0; i < 16; i++) {
          Caller caller = new Caller(entry.port());
          callers.add(caller);
          caller.start("GET /team/open/waits-" + i + " HTTP/1.1", "", KEY);
        }
        Await.until("half of the ring is in use", () -> ring.size() == 16);
        assertThat(Caller.refusal(last.get("/team/open/refused", KEY)))
            .isEqualTo("overloaded/not-run");
        blocked.countDown();
        Set<String> told = new HashSet<>();
        for (Caller caller : callers) {
          RawTarget.Received response = caller.read();
          // The routing ring may be full in turn when all 16 reach it at once.
          if (Caller.status(response) == 200) {
            told.add(response.body());
          } else {
            assertThat(Caller.refusal(response)).isEqualTo("overloaded/not-run");
          }
        }
        List<String> run = target.received().stream().map(RawTarget.Received::name).toList();
        assertThat(run).containsExactlyElementsIn(told);
      } finally {
        for (Caller caller : callers) {
          caller.close();
        }
      }
    }

    /** A request without a key whose refusal holds the admission thread. */
    private CallerRequest blocking(EntryProcess entry, CountDownLatch until) {
      RequestHandle handle =
          new RequestHandle() {
            @Override
            public void refuse(Refusal refusal) {
              try {
                until.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            }

            @Override
            public void answer(StoredAnswer answer) {}
          };
      return new CallerRequest(
          "blocking",
          "GET",
          Optional.empty(),
          "/",
          List.of(),
          Optional.empty(),
          Optional.empty(),
          entry.now(),
          handle);
    }
  }

  @Nested
  class Waiting {
    @Test
    void requestPastItsDeadlineIsNeverSent() throws Exception {
      CountDownLatch release = new CountDownLatch(1);
      try (RawTarget target = blocking(release);
          EntryProcess entry = EntryProcess.start(List.of(target.port()), 4096, 1);
          Caller first = new Caller(entry.port());
          Caller second = new Caller(entry.port())) {
        occupy(first, target);
        RawTarget.Received refused =
            second.get("/team/open/waits", KEY, "X-Request-Timeout-Ms: 100");
        assertThat(Caller.refusal(refused)).isEqualTo("deadline-before-send/not-run");
        // 504 would leave open whether the request has run.
        assertThat(Caller.status(refused)).isEqualTo(503);
        release.countDown();
        assertThat(first.read().body()).isEqualTo("runs");
        assertThat(target.received()).hasSize(1);
      }
    }

    @Test
    void requestWhoseKeyIsWithdrawnIsNeverSent() throws Exception {
      CountDownLatch release = new CountDownLatch(1);
      try (RawTarget target = blocking(release);
          EntryProcess entry = EntryProcess.start(List.of(target.port()), 4096, 1);
          Caller first = new Caller(entry.port());
          Caller second = new Caller(entry.port())) {
        occupy(first, target);
        second.start("GET /team/open/waits HTTP/1.1", "", OTHER);
        Await.until("both requests are open", () -> entry.open().requests() == 2);
        entry.configure(List.of(target.port()), 1, Set.of(EntryProcess.OTHER_KEY));
        assertThat(Caller.refusal(second.read())).isEqualTo("withdrawn-key/not-run");
        release.countDown();
        assertThat(first.read().body()).isEqualTo("runs");
        assertThat(target.received()).hasSize(1);
      }
    }

    @Test
    void requestOfAnInstanceThatIsCutOffIsNeverSent() throws Exception {
      CountDownLatch release = new CountDownLatch(1);
      try (RawTarget target = blocking(release);
          EntryProcess entry = EntryProcess.start(List.of(target.port()), 4096, 1);
          Caller first = new Caller(entry.port());
          Caller second = new Caller(entry.port())) {
        occupy(first, target);
        second.start("GET /team/open/waits HTTP/1.1", "", KEY);
        Await.until("both requests are open", () -> entry.open().requests() == 2);
        entry.confirm(Duration.ZERO);
        release.countDown();
        assertThat(Caller.refusal(second.read())).isEqualTo("stale-configuration/not-run");
        assertThat(target.received()).hasSize(1);
      }
    }

    private RawTarget blocking(CountDownLatch release) throws Exception {
      return new RawTarget(
          (connection, request) -> {
            release.await();
            connection.write(RawTarget.ok(request.name()));
          });
    }

    private void occupy(Caller caller, RawTarget target) throws Exception {
      caller.start("GET /team/open/runs HTTP/1.1", "", KEY);
      Await.until("the only slot is in use", () -> target.received().size() == 1);
    }
  }

  @Nested
  class Targets {
    @Test
    void refusedConnectionIsRetriedElsewhereForAnyMethod() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryProcess entry = startWithFirstChoice(FreePorts.next(), target.port());
          Caller caller = new Caller(entry.port())) {
        assertThat(caller.send("POST", "/team/open/x", "body", KEY).body()).isEqualTo("x");
        assertThat(target.received().getLast().header("x-attempt")).isEqualTo("2");
        assertThat(target.received().getLast().body()).isEqualTo("body");
      }
    }

    @Test
    void shedRequestIsRetriedWhenItMayBeRepeated() throws Exception {
      try (RawTarget shedding = shedding("Retry-After: 0");
          RawTarget target = RawTarget.echo();
          EntryProcess entry = startWithFirstChoice(shedding.port(), target.port());
          Caller caller = new Caller(entry.port())) {
        assertThat(caller.get("/team/open/x", KEY).body()).isEqualTo("x");
        assertThat(shedding.received()).hasSize(1);
      }
    }

    @Test
    void shedRequestThatMayNotBeRepeatedRunsOnceElsewhere() throws Exception {
      try (RawTarget shedding = shedding("Retry-After: 0");
          RawTarget target = RawTarget.echo();
          EntryProcess entry = startWithFirstChoice(shedding.port(), target.port());
          Caller caller = new Caller(entry.port())) {
        assertThat(caller.send("POST", "/team/open/x", "body", KEY).body()).isEqualTo("x");
        assertThat(shedding.received()).hasSize(1);
        assertThat(target.received()).hasSize(1);
      }
    }

    @Test
    void shedRequestWithoutTimeForAnotherTargetIsRefusedAsNotRun() throws Exception {
      try (RawTarget shedding = shedding("Retry-After: 30");
          RawTarget target = RawTarget.echo();
          EntryProcess entry = startWithFirstChoice(shedding.port(), target.port());
          Caller caller = new Caller(entry.port())) {
        RawTarget.Received refused = caller.send("POST", "/team/open/x", "body", KEY);
        assertThat(Caller.refusal(refused)).isEqualTo("target-refused/not-run");
        assertThat(refused.header("retry-after")).isEqualTo("30");
        assertThat(target.received()).isEmpty();
      }
    }

    @Test
    void brokenRequestThatMayNotBeRepeatedRunsOnce() throws Exception {
      RawTarget.Behaviour breaks = (connection, request) -> connection.close();
      try (RawTarget breaking = new RawTarget(breaks);
          RawTarget target = RawTarget.echo();
          EntryProcess entry = startWithFirstChoice(breaking.port(), target.port());
          Caller caller = new Caller(entry.port())) {
        assertThat(Caller.refusal(caller.send("POST", "/team/open/x", "body", KEY)))
            .isEqualTo("target-failed/unknown");
        assertThat(target.received()).isEmpty();
      }
    }

    @Test
    void requestThatMayHaveRunIsNeverCalledNotRunLater() throws Exception {
      AtomicReference<EntryProcess> running = new AtomicReference<>();
      RawTarget.Behaviour withdrawsAndBreaks =
          (connection, request) -> {
            running.get().configure(List.of(), 4, Set.of(EntryProcess.KEY));
            connection.close();
          };
      try (RawTarget target = new RawTarget(withdrawsAndBreaks);
          EntryProcess entry = EntryProcess.start(List.of(target.port()));
          Caller caller = new Caller(entry.port())) {
        running.set(entry);
        assertThat(Caller.refusal(caller.get("/team/open/x", KEY)))
            .isEqualTo("target-failed/unknown");
      }
    }

    private RawTarget shedding(String retryAfter) throws Exception {
      return new RawTarget(
          (connection, request) ->
              connection.write(
                  String.join(
                      "\r\n",
                      "HTTP/1.1 503 Busy",
                      "X-Not-Run: true",
                      retryAfter,
                      "Content-Length: 0",
                      "",
                      "")));
    }

    /** Starts an instance that chooses the first target as long as it may. */
    private EntryProcess startWithFirstChoice(int first, int second) throws Exception {
      EntryProcess entry = EntryProcess.start(List.of(first, second));
      entry
          .kernel()
          .context()
          .publish(
              Broadcasts.HEALTH,
              new HealthView(
                  Map.of(new TargetId("target-" + second), new TargetStatus.InUse(1e-12))));
      return entry;
    }
  }

  private static String refusal(EntryProcess entry, String path, String... headers)
      throws Exception {
    try (Caller caller = new Caller(entry.port())) {
      return Caller.refusal(caller.get(path, headers));
    }
  }
}
