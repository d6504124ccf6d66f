package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bergamotcross.core.admission.ExecutionOutcome;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Route;
import org.bergamotcross.entry.AdmissionMessage;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.entry.CallerRequest;
import org.bergamotcross.entry.RoutingMessage;
import org.bergamotcross.entry.Topics;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.standin.FreePorts;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a claim that stays open or ends with a wrong outcome (invariant 8). */
class ClaimOutcomeTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);

  private final BlockingQueue<AdmissionMessage.ClaimEnded> claimEnds = new ArrayBlockingQueue<>(16);

  @Nested
  class Responses {
    @Test
    void smallOnesAreStored() throws Exception {
      String body = "x".repeat(8 * 1024);
      AdmissionMessage.ClaimEnded end = runClaimedRequest(answering(RawTarget.ok(body)), body);
      assertThat(end.outcome()).isEqualTo(ExecutionOutcome.RUN);
      assertThat(end.response().orElseThrow().body()).hasLength(body.length());
      assertThat(end.response().orElseThrow().status()).isEqualTo(200);
    }

    @Test
    void smallChunkedOnesAreStored() throws Exception {
      String chunked =
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n";
      AdmissionMessage.ClaimEnded end = runClaimedRequest(answering(chunked), "abcd");
      assertThat(end.response().orElseThrow().body())
          .isEqualTo("abcd".getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void largerOnesAreStreamedAndNotStored() throws Exception {
      String body = "0123456789".repeat(10_000);
      AdmissionMessage.ClaimEnded end = runClaimedRequest(answering(RawTarget.ok(body)), body);
      assertThat(end.outcome()).isEqualTo(ExecutionOutcome.RUN);
      assertThat(end.response()).isEqualTo(Optional.empty());
    }
  }

  @Nested
  class Failures {
    @Test
    void beforeTheHeadAreUnknown() throws Exception {
      assertThat(runClaimedRequest((connection, request) -> connection.close(), "").outcome())
          .isEqualTo(ExecutionOutcome.UNKNOWN);
    }

    @Test
    void inTheBodyAreUnknown() throws Exception {
      RawTarget.RequestHandler half =
          (connection, request) -> {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
            connection.close();
          };
      assertThat(runClaimedRequest(half, "").outcome()).isEqualTo(ExecutionOutcome.UNKNOWN);
    }

    @Test
    void inAStreamedBodyAreUnknown() throws Exception {
      RawTarget.RequestHandler half =
          (connection, request) -> {
            connection.write(
                "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + "x".repeat(50_000));
            connection.close();
          };
      try (RawTarget target = new RawTarget(half);
          EntryInstance entry = start(target.port());
          RawCaller caller = new RawCaller(entry.port())) {
        caller.sendRequest("POST /team/open/x HTTP/1.1\r\nContent-Length: 0", "", KEY);
        assertThat(claimEnds.poll(5, TimeUnit.SECONDS).outcome())
            .isEqualTo(ExecutionOutcome.UNKNOWN);
      }
    }

    @Test
    void byDeadlineAreUnknown() throws Exception {
      assertThat(runClaimedRequest((connection, request) -> connection.awaitClose(), "").outcome())
          .isEqualTo(ExecutionOutcome.UNKNOWN);
    }

    @Test
    void ofTargetsThatShedAreNotRun() throws Exception {
      String shed = "HTTP/1.1 429 Busy\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n";
      assertThat(runClaimedRequest(answering(shed), "").outcome())
          .isEqualTo(ExecutionOutcome.NOT_RUN);
    }

    @Test
    void toConnectAreNotRun() throws Exception {
      try (EntryInstance entry = start(FreePorts.next());
          RawCaller caller = new RawCaller(entry.port())) {
        caller.send("POST", "/team/open/x", "order", KEY);
        assertThat(claimEnds.poll(5, TimeUnit.SECONDS).outcome())
            .isEqualTo(ExecutionOutcome.NOT_RUN);
      }
    }

    @Test
    void ofCallersThatDisconnectAreUnknown() throws Exception {
      try (RawTarget target = new RawTarget((connection, request) -> connection.awaitClose());
          EntryInstance entry = start(target.port());
          RawCaller caller = new RawCaller(entry.port())) {
        caller.sendRequest("POST /team/open/x HTTP/1.1\r\nContent-Length: 0", "", KEY);
        Polling.until("the request runs", () -> target.requests().size() == 1);
        caller.disconnect();
        assertThat(claimEnds.poll(5, TimeUnit.SECONDS).outcome())
            .isEqualTo(ExecutionOutcome.UNKNOWN);
      }
    }
  }

  private static RawTarget.RequestHandler answering(String text) {
    return (connection, request) -> connection.write(text);
  }

  /** Sends a claimed request, checks the response body if one is given, and returns its outcome. */
  private AdmissionMessage.ClaimEnded runClaimedRequest(
      RawTarget.RequestHandler handler, String body) throws Exception {
    try (RawTarget target = new RawTarget(handler);
        EntryInstance entry = start(target.port());
        RawCaller caller = new RawCaller(entry.port())) {
      RawTarget.Message response = caller.send("POST", "/team/open/x", "order", KEY);
      if (!body.isEmpty()) {
        assertThat(response.body()).isEqualTo(body);
      }
      AdmissionMessage.ClaimEnded end = claimEnds.poll(5, TimeUnit.SECONDS);
      Polling.until("nothing is open", () -> entry.openRequests().requestCount() == 0);
      assertThat(claimEnds).isEmpty();
      return end;
    }
  }

  private EntryInstance start(int target) throws Exception {
    return EntryInstance.start(
        List.of(target), 4096, 4, Optional.of(new ClaimingAdmissionPlugin()));
  }

  /** Replaces admission: claims each request with a deadline of 2 s, and records the outcomes. */
  private final class ClaimingAdmissionPlugin implements Plugin {
    @Override
    public String name() {
      return "admission";
    }

    @Override
    public void configure(PluginContext context) {
      context.openRing(Topics.ADMISSION, 64);
    }

    @Override
    public void start(PluginContext context) {
      Ring<RoutingMessage> routing = context.ring(Topics.ROUTING).orElseThrow();
      context.startDuty(
          Topics.ADMISSION,
          new DutyHandler<AdmissionMessage>() {
            @Override
            public void onMessage(AdmissionMessage message, ClockReading now) {
              switch (message) {
                case AdmissionMessage.RequestReceived arrived ->
                    routing.offer(new RoutingMessage.RequestAdmitted(claimed(arrived.request())));
                case AdmissionMessage.ClaimEnded end -> claimEnds.add(end);
                default -> {}
              }
            }

            @Override
            public Duration onTick(ClockReading now) {
              return Duration.ofSeconds(1);
            }
          });
    }

    private AdmittedRequest claimed(CallerRequest request) {
      return new AdmittedRequest(
          request,
          Optional.of(new OrganisationId("team/customer")),
          Optional.of(KeyHash.of(EntryInstance.KEY)),
          new PoolId("team/pool"),
          Route.Limits.DEFAULT_PRIORITY,
          new Route(
              "team/open",
              "/team/open",
              new PoolId("team/pool"),
              java.util.Set.of("POST"),
              java.util.Set.of(),
              java.util.Set.of(),
              Duration.ofSeconds(1)),
          false,
          true,
          request.receivedAt().plus(Duration.ofSeconds(2)));
    }
  }
}
