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
import org.bergamotcross.core.admission.StoredResponse;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.HealthView;
import org.bergamotcross.core.routing.TargetStatus;
import org.bergamotcross.entry.AdmissionMessage;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.CallerRequest;
import org.bergamotcross.entry.RequestHandle;
import org.bergamotcross.entry.Topics;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.standin.FreePorts;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against reporting "not run" for a request that reached a target (invariant 7). */
class NotRunOutcomeTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);
  private static final String OTHER = RawCaller.bearerHeader(EntryInstance.OTHER_KEY);

  @Nested
  class Admission {
    @Test
    void refusalsReachNoTarget() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryInstance entry = EntryInstance.start(List.of(target.port()))) {
        entry.configure(List.of(target.port()), 4, Set.of("withdrawn"));
        assertThat(refusal(entry, "/team/open/x")).isEqualTo("missing-key/not-run");
        assertThat(refusal(entry, "/team/open/x", RawCaller.bearerHeader("nobody's")))
            .isEqualTo("unknown-key/not-run");
        assertThat(refusal(entry, "/team/open/x", RawCaller.bearerHeader("withdrawn")))
            .isEqualTo("withdrawn-key/not-run");
        assertThat(refusal(entry, "/team/open/x", KEY, "X-Api-Key: " + EntryInstance.OTHER_KEY))
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
        assertThat(target.requests()).isEmpty();
      }
    }

    @Test
    void fullRingRefusesWithoutRunning() throws Exception {
      CountDownLatch blocked = new CountDownLatch(1);
      List<RawCaller> callers = new ArrayList<>();
      try (RawTarget target = RawTarget.echo();
          EntryInstance entry = EntryInstance.start(List.of(target.port()), 32, 4);
          RawCaller last = new RawCaller(entry.port())) {
        Ring<AdmissionMessage> ring = entry.kernel().context().ring(Topics.ADMISSION).orElseThrow();
        ring.offer(new AdmissionMessage.RequestReceived(blocking(entry, blocked)));
        Polling.until("the admission thread is blocked", () -> ring.size() == 0);
        for (int i = 0; i < 16; i++) {
          RawCaller caller = new RawCaller(entry.port());
          callers.add(caller);
          caller.sendRequest("GET /team/open/waits-" + i + " HTTP/1.1", "", KEY);
        }
        Polling.until("half of the ring is in use", () -> ring.size() == 16);
        assertThat(RawCaller.refusalAndOutcome(last.get("/team/open/refused", KEY)))
            .isEqualTo("overloaded/not-run");
        blocked.countDown();
        Set<String> answered = new HashSet<>();
        for (RawCaller caller : callers) {
          RawTarget.Message response = caller.read();
          // The routing ring may also be full when all 16 requests reach it at once.
          if (RawCaller.status(response) == 200) {
            answered.add(response.body());
          } else {
            assertThat(RawCaller.refusalAndOutcome(response)).isEqualTo("overloaded/not-run");
          }
        }
        List<String> run = target.requests().stream().map(RawTarget.Message::name).toList();
        assertThat(run).containsExactlyElementsIn(answered);
      } finally {
        for (RawCaller caller : callers) {
          caller.close();
        }
      }
    }

    /** Returns a request without a key whose refusal blocks the admission thread. */
    private CallerRequest blocking(EntryInstance entry, CountDownLatch until) {
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
            public void replay(StoredResponse response) {}
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
  class QueuedRequests {
    @Test
    void requestPastItsDeadlineIsNeverSent() throws Exception {
      CountDownLatch release = new CountDownLatch(1);
      try (RawTarget target = blocking(release);
          EntryInstance entry = EntryInstance.start(List.of(target.port()), 4096, 1);
          RawCaller first = new RawCaller(entry.port());
          RawCaller second = new RawCaller(entry.port())) {
        occupy(first, target);
        RawTarget.Message refused =
            second.get("/team/open/waits", KEY, "X-Request-Timeout-Ms: 100");
        assertThat(RawCaller.refusalAndOutcome(refused)).isEqualTo("deadline-before-send/not-run");
        // Status 504 would leave open whether the request has run.
        assertThat(RawCaller.status(refused)).isEqualTo(503);
        release.countDown();
        assertThat(first.read().body()).isEqualTo("runs");
        assertThat(target.requests()).hasSize(1);
      }
    }

    @Test
    void requestWhoseKeyIsWithdrawnIsNeverSent() throws Exception {
      CountDownLatch release = new CountDownLatch(1);
      try (RawTarget target = blocking(release);
          EntryInstance entry = EntryInstance.start(List.of(target.port()), 4096, 1);
          RawCaller first = new RawCaller(entry.port());
          RawCaller second = new RawCaller(entry.port())) {
        occupy(first, target);
        second.sendRequest("GET /team/open/waits HTTP/1.1", "", OTHER);
        Polling.until("both requests are open", () -> entry.openRequests().requestCount() == 2);
        entry.configure(List.of(target.port()), 1, Set.of(EntryInstance.OTHER_KEY));
        assertThat(RawCaller.refusalAndOutcome(second.read())).isEqualTo("withdrawn-key/not-run");
        release.countDown();
        assertThat(first.read().body()).isEqualTo("runs");
        assertThat(target.requests()).hasSize(1);
      }
    }

    @Test
    void requestWithAStaleConfigurationIsNeverSent() throws Exception {
      CountDownLatch release = new CountDownLatch(1);
      try (RawTarget target = blocking(release);
          EntryInstance entry = EntryInstance.start(List.of(target.port()), 4096, 1);
          RawCaller first = new RawCaller(entry.port());
          RawCaller second = new RawCaller(entry.port())) {
        occupy(first, target);
        second.sendRequest("GET /team/open/waits HTTP/1.1", "", KEY);
        Polling.until("both requests are open", () -> entry.openRequests().requestCount() == 2);
        entry.confirmConfiguration(Duration.ZERO);
        release.countDown();
        assertThat(RawCaller.refusalAndOutcome(second.read()))
            .isEqualTo("stale-configuration/not-run");
        assertThat(target.requests()).hasSize(1);
      }
    }

    private RawTarget blocking(CountDownLatch release) throws Exception {
      return new RawTarget(
          (connection, request) -> {
            release.await();
            connection.write(RawTarget.ok(request.name()));
          });
    }

    private void occupy(RawCaller caller, RawTarget target) throws Exception {
      caller.sendRequest("GET /team/open/runs HTTP/1.1", "", KEY);
      Polling.until("the only slot is in use", () -> target.requests().size() == 1);
    }
  }

  @Nested
  class TargetFailures {
    @Test
    void refusedConnectionIsRetriedElsewhereForAnyMethod() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryInstance entry = startWithFirstChoice(FreePorts.next(), target.port());
          RawCaller caller = new RawCaller(entry.port())) {
        assertThat(caller.send("POST", "/team/open/x", "body", KEY).body()).isEqualTo("x");
        assertThat(target.requests().getLast().header("x-attempt")).isEqualTo("2");
        assertThat(target.requests().getLast().body()).isEqualTo("body");
      }
    }

    @Test
    void shedRequestIsRetriedWhenItMayBeRepeated() throws Exception {
      try (RawTarget shedding = shedding("Retry-After: 0");
          RawTarget target = RawTarget.echo();
          EntryInstance entry = startWithFirstChoice(shedding.port(), target.port());
          RawCaller caller = new RawCaller(entry.port())) {
        assertThat(caller.get("/team/open/x", KEY).body()).isEqualTo("x");
        assertThat(shedding.requests()).hasSize(1);
      }
    }

    @Test
    void shedRequestThatMayNotBeRepeatedRunsOnceElsewhere() throws Exception {
      checkRunsOnceElsewhere("Retry-After: 0");
    }

    // A pause longer than the caller waits holds for the target that asked for it, not for others.
    @Test
    void shedRequestWithALongPauseRunsOnceElsewhere() throws Exception {
      checkRunsOnceElsewhere("Retry-After: 30");
    }

    private void checkRunsOnceElsewhere(String retryAfter) throws Exception {
      try (RawTarget shedding = shedding(retryAfter);
          RawTarget target = RawTarget.echo();
          EntryInstance entry = startWithFirstChoice(shedding.port(), target.port());
          RawCaller caller = new RawCaller(entry.port())) {
        assertThat(caller.send("POST", "/team/open/x", "body", KEY).body()).isEqualTo("x");
        assertThat(shedding.requests()).hasSize(1);
        assertThat(target.requests()).hasSize(1);
      }
    }

    @Test
    void shedRequestWithoutAnotherTargetIsRefusedAsNotRun() throws Exception {
      try (RawTarget shedding = shedding("Retry-After: 30");
          EntryInstance entry = EntryInstance.start(List.of(shedding.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        RawTarget.Message refused = caller.send("POST", "/team/open/x", "body", KEY);
        assertThat(RawCaller.refusalAndOutcome(refused)).isEqualTo("targets-paused/not-run");
        assertThat(Integer.parseInt(refused.header("retry-after"))).isAtLeast(30);
        assertThat(shedding.requests()).hasSize(1);
      }
    }

    @Test
    void brokenRequestThatMayNotBeRepeatedRunsOnce() throws Exception {
      RawTarget.RequestHandler breaks = (connection, request) -> connection.close();
      try (RawTarget breaking = new RawTarget(breaks);
          RawTarget target = RawTarget.echo();
          EntryInstance entry = startWithFirstChoice(breaking.port(), target.port());
          RawCaller caller = new RawCaller(entry.port())) {
        assertThat(RawCaller.refusalAndOutcome(caller.send("POST", "/team/open/x", "body", KEY)))
            .isEqualTo("target-failed/unknown");
        assertThat(target.requests()).isEmpty();
      }
    }

    @Test
    void requestThatMayHaveRunIsNeverReportedAsNotRun() throws Exception {
      AtomicReference<EntryInstance> running = new AtomicReference<>();
      RawTarget.RequestHandler withdrawsAndBreaks =
          (connection, request) -> {
            running.get().configure(List.of(), 4, Set.of(EntryInstance.KEY));
            connection.close();
          };
      try (RawTarget target = new RawTarget(withdrawsAndBreaks);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        running.set(entry);
        assertThat(RawCaller.refusalAndOutcome(caller.get("/team/open/x", KEY)))
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

    /** Starts an instance that prefers the first target while it may be used. */
    private EntryInstance startWithFirstChoice(int first, int second) throws Exception {
      EntryInstance entry = EntryInstance.start(List.of(first, second));
      entry
          .kernel()
          .context()
          .publish(
              Broadcasts.HEALTH,
              new HealthView(
                  Map.of(new TargetId("target-" + second), new TargetStatus.Available(1e-12))));
      return entry;
    }
  }

  private static String refusal(EntryInstance entry, String path, String... headers)
      throws Exception {
    try (RawCaller caller = new RawCaller(entry.port())) {
      return RawCaller.refusalAndOutcome(caller.get(path, headers));
    }
  }
}
