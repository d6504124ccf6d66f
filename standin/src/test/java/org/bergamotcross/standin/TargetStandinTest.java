package org.bergamotcross.standin;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against faults of the stand-in that differ from what other tests assume. */
class TargetStandinTest {
  private static final Duration LONG_WORK = Duration.ofMinutes(5);

  private final TargetStandin target =
      TargetStandin.builder("t1")
          .slots(2)
          .maxConnections(10)
          .workTime(Duration.ofMillis(1))
          .start();
  private final TestClient client = new TestClient(target.address());

  @AfterEach
  void stop() {
    client.close();
    target.close();
  }

  private HttpResponse<String> work(String id) throws Exception {
    return client.get("/work", "X-Request-Id", id);
  }

  private CompletableFuture<HttpResponse<String>> workAsync(String id) {
    return client.sendAsync(client.request("/work", "X-Request-Id", id));
  }

  private Socket open(String id) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), target.address().getPort());
    String head = "GET /work HTTP/1.1\r\nHost: t\r\nX-Request-Id: " + id + "\r\n\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
    return socket;
  }

  private void awaitStarted(String id) throws InterruptedException {
    TestClient.await(() -> target.executions().count(id) == 1);
  }

  private Execution.State state(String id) {
    return target.executions().forRequest(id).get(0).state();
  }

  private static void assertNotRun(HttpResponse<String> response) {
    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.headers().firstValue("X-Not-Run")).hasValue("true");
  }

  @Nested
  class Work {
    @Test
    void isRecordedWithTheFieldsOfItsRequest() throws Exception {
      HttpResponse<String> response =
          client.post(
              "/orders/7?x=1",
              "12345",
              "X-Request-Id",
              "r1",
              "X-Organisation",
              "team/a",
              "X-Attempt",
              "1",
              "Idempotency-Key",
              "k",
              "X-Other",
              "value");
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).contains("\"request\":\"r1\"");
      Execution execution = target.executions().forRequest("r1").get(0);
      assertThat(execution.organisation()).isEqualTo("team/a");
      assertThat(execution.attempt()).isEqualTo("1");
      assertThat(execution.idempotencyKey()).hasValue("k");
      assertThat(execution.bodyBytes()).isEqualTo(5);
      assertThat(execution.path()).isEqualTo("/orders/7");
      assertThat(execution.headers()).containsEntry("x-other", List.of("value"));
      assertThat(execution.state()).isEqualTo(Execution.State.COMPLETED);
      String json = client.get("/executions").body();
      assertThat(json).contains("\"x-other\"");
      assertThat(json).doesNotContain("value");
    }

    @Test
    void returnsABodyOfTheRequestedLength() throws Exception {
      assertThat(client.get("/work?bytes=1000003", "X-Request-Id", "r2").body())
          .hasLength(1_000_003);
      assertThat(client.get("/work?bytes=100", "X-Request-Id", "r3").body())
          .contains("\"request\":\"r3\"");
    }

    @Test
    void isRejectedPastItsDeadline() throws Exception {
      assertNotRun(client.get("/work", "X-Request-Id", "r4", "X-Request-Deadline", "1000"));
      assertThat(target.executions().count("r4")).isEqualTo(0);
    }

    @Test
    void stopsWhenTheConnectionIsClosed() throws Exception {
      target.setWorkTime(LONG_WORK);
      try (Socket socket = open("r5")) {
        awaitStarted("r5");
        assertThat(socket.isConnected()).isTrue();
      }
      TestClient.await(() -> state("r5") == Execution.State.CANCELLED);
    }
  }

  @Nested
  class Limits {
    @Test
    void rejectWorkBeyondTheSlots() throws Exception {
      target.setWorkTime(LONG_WORK);
      try (Socket first = open("r1");
          Socket second = open("r2")) {
        awaitStarted("r1");
        awaitStarted("r2");
        HttpResponse<String> response = work("r3");
        assertNotRun(response);
        assertThat(response.headers().firstValue("Retry-After")).hasValue("1");
        assertThat(client.get("/load").body()).isEqualTo("{\"slots\":2,\"running\":2}");
        assertThat(first.getPort()).isEqualTo(second.getPort());
      }
      assertThat(target.executions().count("r3")).isEqualTo(0);
    }

    @Test
    void closeConnectionsBeyondTheMaximum() throws Exception {
      target.injectFault(new TargetFault.Stall());
      try (AutoCloseable sockets = openAll(10)) {
        TestClient.await(() -> target.openConnections() == 10);
        try (Socket extra = open("extra")) {
          assertThat(readAll(extra)).isEmpty();
        }
        assertThat(sockets).isNotNull();
      }
    }

    private AutoCloseable openAll(int count) throws IOException {
      org.bergamotcross.kernel.Closer closer = new org.bergamotcross.kernel.Closer();
      for (int i = 0; i < count; i++) {
        closer.register("socket", open("open-" + i));
      }
      return closer;
    }
  }

  private static String readAll(Socket socket) throws IOException {
    try (InputStream in = socket.getInputStream()) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (java.net.SocketException e) {
      return "";
    }
  }

  @Nested
  class Drain {
    @Test
    void rejectsNewWorkAndMarksAllResponses() throws Exception {
      target.setDraining(true);
      HttpResponse<String> response = work("r1");
      assertNotRun(response);
      assertThat(response.headers().firstValue("X-Draining")).hasValue("true");
      assertThat(client.get("/health").headers().firstValue("X-Draining")).hasValue("true");
    }
  }

  @Nested
  class ColdStart {
    @Test
    void multipliesTheWorkTime() throws Exception {
      target.setWorkTime(Duration.ofMillis(20));
      target.simulateColdStart(Duration.ofMinutes(1), 10);
      long start = System.nanoTime();
      work("r1");
      assertThat(System.nanoTime() - start).isAtLeast(Duration.ofMillis(200).toNanos());
    }
  }

  @Nested
  class Probes {
    @Test
    void returnTheOverriddenValues() throws Exception {
      assertThat(client.get("/health").statusCode()).isEqualTo(200);
      target.overrideHealth(Optional.of(false));
      target.overrideLoad(Optional.of(99L));
      assertThat(client.get("/health").statusCode()).isEqualTo(503);
      assertThat(client.get("/load").body()).contains("\"running\":99");
    }
  }

  @Nested
  class Stall {
    @Test
    void holdsWorkWhileHealthPasses() throws Exception {
      client.post("/control", "fault=stall");
      var stalled = workAsync("r1");
      assertThat(client.get("/health").statusCode()).isEqualTo(200);
      assertThrows(
          HttpTimeoutException.class,
          () ->
              client.send(
                  client.request("/work", "X-Request-Id", "r2").timeout(TestClient.SHORT_TIMEOUT)));
      assertThat(target.executions().totalStarted()).isEqualTo(0);
      client.post("/control", "fault=none");
      assertThat(stalled.get().statusCode()).isEqualTo(200);
      assertThat(target.executions().count("r2")).isEqualTo(0);
    }

    @Test
    void endsAfterItsDuration() throws Exception {
      client.post("/control", "fault=stall&forMs=50");
      assertThat(work("r1").statusCode()).isEqualTo(200);
    }
  }

  @Nested
  class SlowWork {
    @Test
    void addsToTheWorkTime() throws Exception {
      target.injectFault(new TargetFault.SlowWork(Duration.ofMillis(150)));
      long start = System.nanoTime();
      assertThat(work("r1").statusCode()).isEqualTo(200);
      assertThat(System.nanoTime() - start).isAtLeast(Duration.ofMillis(150).toNanos());
    }
  }

  @Nested
  class ErrorResponse {
    @Test
    void hasStatus500AfterTheWork() throws Exception {
      target.injectFault(new TargetFault.ErrorResponse());
      assertThat(work("r1").statusCode()).isEqualTo(500);
      assertThat(target.executions().count("r1")).isEqualTo(1);
    }
  }

  @Nested
  class TruncatedBody {
    @Test
    void breaksTheConnectionAfterTheWork() {
      target.injectFault(new TargetFault.TruncatedBody());
      assertThrows(IOException.class, () -> client.get("/work?bytes=100000", "X-Request-Id", "r1"));
      assertThat(state("r1")).isEqualTo(Execution.State.COMPLETED);
    }
  }

  @Nested
  class DelayedResponse {
    @Test
    void releasesTheSlotBeforeTheResponse() throws Exception {
      target.setSlots(1);
      target.injectFault(new TargetFault.DelayedResponse(Duration.ofMillis(300)));
      long start = System.nanoTime();
      var delayed = workAsync("r1");
      awaitStarted("r1");
      TestClient.await(() -> state("r1") == Execution.State.COMPLETED);
      assertThat(client.get("/load").body()).contains("\"running\":0");
      assertThat(delayed.get().body()).contains("\"request\":\"r1\"");
      assertThat(System.nanoTime() - start).isAtLeast(Duration.ofMillis(300).toNanos());
    }
  }

  @Nested
  class LostResponse {
    @Test
    void completesTheWork() {
      target.injectFault(new TargetFault.LostResponse());
      HttpRequest.Builder request =
          client.request("/work", "X-Request-Id", "r1").timeout(TestClient.SHORT_TIMEOUT);
      assertThrows(HttpTimeoutException.class, () -> client.send(request));
      assertThat(state("r1")).isEqualTo(Execution.State.COMPLETED);
    }
  }

  @Nested
  class ConnectionRefused {
    @Test
    void closesConnectionsAndListensAtTheSameAddressAfterwards() throws Exception {
      assertThat(work("r1").statusCode()).isEqualTo(200);
      int port = target.address().getPort();
      target.injectFault(new TargetFault.ConnectionRefused());
      assertThrows(
          IOException.class, () -> new Socket(InetAddress.getLoopbackAddress(), port).close());
      TestClient.await(() -> target.openConnections() == 0);
      target.injectFault(new TargetFault.None());
      assertThat(target.address().getPort()).isEqualTo(port);
      assertThat(work("r2").statusCode()).isEqualTo(200);
    }
  }
}
