package org.bergamotcross.standin;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against faults of the stand-in that differ from what other tests assume. */
class PlatformStandinTest {
  private static final String RECORDS = "/streams/control/records";
  private static final ObjectMapper JSON = new ObjectMapper();

  private final PlatformStandin platform = PlatformStandin.builder().start();
  private final TestClient client = new TestClient(platform.address());

  @AfterEach
  void stop() {
    client.close();
    platform.close();
  }

  private JsonNode json(HttpResponse<String> response) throws IOException {
    assertThat(response.statusCode()).isEqualTo(200);
    return JSON.readTree(response.body());
  }

  private long append(String text) throws Exception {
    return json(client.post(RECORDS, text)).get("offset").asLong();
  }

  private JsonNode read(String query) throws Exception {
    return json(client.get(RECORDS + query));
  }

  private static String data(JsonNode page, int index) throws IOException {
    return new String(
        page.get("records").get(index).get("data").binaryValue(),
        java.nio.charset.StandardCharsets.UTF_8);
  }

  @Nested
  class Stream {
    @Test
    void assignsOffsetsInOrderAndReturnsPages() throws Exception {
      assertThat(append("a")).isEqualTo(0);
      assertThat(append("b")).isEqualTo(1);
      assertThat(append("c")).isEqualTo(2);
      JsonNode page = read("?from=1&max=1");
      assertThat(page.get("earliest").asLong()).isEqualTo(0);
      assertThat(page.get("next").asLong()).isEqualTo(3);
      assertThat(page.get("records")).hasSize(1);
      assertThat(data(page, 0)).isEqualTo("b");
    }

    @Test
    void answersALongPollWhenARecordArrives() throws Exception {
      var waiting = client.sendAsync(client.request(RECORDS + "?from=0&waitMs=8000"));
      append("a");
      assertThat(data(json(waiting.get()), 0)).isEqualTo("a");
    }

    @Test
    void endsALongPollAfterItsMaximumWait() throws Exception {
      assertThat(read("?from=0&waitMs=20").get("records")).isEmpty();
    }
  }

  @Nested
  class Retention {
    @Test
    void trimsTheOldestRecordsPermanently() throws Exception {
      append("a");
      append("b");
      append("c");
      platform.setRetention(1);
      platform.setRetention(3);
      HttpResponse<String> response = client.get(RECORDS + "?from=1");
      assertThat(response.statusCode()).isEqualTo(410);
      assertThat(JSON.readTree(response.body()).get("earliest").asLong()).isEqualTo(2);
      assertThat(platform.history("control").stream().map(StoredRecord::text))
          .containsExactly("a", "b", "c")
          .inOrder();
    }
  }

  @Nested
  class InstanceListing {
    @Test
    void showsChangesOnlyAfterTheLag() throws Exception {
      client.post("/control", "listLagMs=600000");
      client.post("/control", "register=t1&kind=target&state=leaving&address=127.0.0.1:1");
      assertThat(json(client.get("/instances")).get("instances")).isEmpty();
      platform.setInstanceListLag(Duration.ZERO);
      JsonNode entry = json(client.get("/instances")).get("instances").get(0);
      assertThat(entry.get("id").asText()).isEqualTo("t1");
      assertThat(entry.get("kind").asText()).isEqualTo("target");
      assertThat(entry.get("state").asText()).isEqualTo("leaving");
      platform.removeInstance("t1");
      assertThat(json(client.get("/instances")).get("instances")).isEmpty();
    }
  }

  @Nested
  class Outage {
    @Test
    void rejectsRequestsWithoutEffect() throws Exception {
      platform.injectFault(new PlatformFault.Outage(false));
      assertThat(client.post(RECORDS, "a").statusCode()).isEqualTo(503);
      assertThat(client.get(RECORDS).statusCode()).isEqualTo(503);
      assertThat(client.get("/instances").statusCode()).isEqualTo(503);
      platform.injectFault(new PlatformFault.None());
      assertThat(append("b")).isEqualTo(0);
    }

    @Test
    void closesTheConnectionWithoutAResponse() {
      platform.injectFault(new PlatformFault.Outage(true));
      assertThrows(IOException.class, () -> client.get(RECORDS));
      assertThat(platform.history("control")).isEmpty();
    }

    @Test
    void rejectsPendingLongPolls() throws Exception {
      append("a");
      CompletableFuture<HttpResponse<String>> waiting =
          client.sendAsync(client.request(RECORDS + "?from=1&waitMs=8000"));
      assertThrows(
          HttpTimeoutException.class,
          () ->
              client.send(
                  client
                      .request(RECORDS + "?from=1&waitMs=8000")
                      .timeout(TestClient.SHORT_TIMEOUT)));
      platform.injectFault(new PlatformFault.Outage(false));
      assertThat(waiting.get().statusCode()).isEqualTo(503);
    }
  }

  @Nested
  class Latency {
    @Test
    void delaysTheResponse() throws Exception {
      platform.injectFault(new PlatformFault.Latency(Duration.ofMillis(150)));
      long start = System.nanoTime();
      append("a");
      assertThat(System.nanoTime() - start).isAtLeast(Duration.ofMillis(150).toNanos());
    }
  }

  @Nested
  class LostResponse {
    @Test
    void keepsTheEffectOfAnAppendWithoutResponse() throws Exception {
      platform.injectFault(new PlatformFault.LostResponse());
      var request = client.request(RECORDS).timeout(TestClient.SHORT_TIMEOUT);
      assertThrows(
          HttpTimeoutException.class,
          () -> client.send(request.POST(java.net.http.HttpRequest.BodyPublishers.ofString("a"))));
      assertThat(data(read("?from=0"), 0)).isEqualTo("a");
    }
  }

  @Nested
  class StalePage {
    @Test
    void returnsRecordsBelowTheRequestedOffset() throws Exception {
      append("a");
      append("b");
      platform.injectFault(new PlatformFault.StalePage());
      JsonNode page = read("?from=1&waitMs=8000");
      assertThat(data(page, 0)).isEqualTo("a");
      assertThat(page.get("records")).hasSize(1);
      assertThat(page.get("next").asLong()).isEqualTo(1);
    }
  }

  @Nested
  class Scope {
    @Test
    void limitsAFaultToOneOperation() throws Exception {
      client.post("/control", "fault=outage&only=appends");
      assertThat(client.post(RECORDS, "a").statusCode()).isEqualTo(503);
      assertThat(client.get(RECORDS).statusCode()).isEqualTo(200);
      client.post("/control", "fault=none");
      client.post("/control", "fault=outage&only=reads");
      assertThat(client.post(RECORDS, "a").statusCode()).isEqualTo(200);
      assertThat(client.get(RECORDS).statusCode()).isEqualTo(503);
    }

    @Test
    void keepsTheFaultOfTheOtherOperation() throws Exception {
      client.post("/control", "fault=outage&only=appends");
      client.post("/control", "fault=outage&only=reads");
      assertThat(client.post(RECORDS, "a").statusCode()).isEqualTo(503);
      assertThat(client.get(RECORDS).statusCode()).isEqualTo(503);
    }

    @Test
    void limitsAFaultToNamedClients() throws Exception {
      platform.injectFault(new PlatformFault.Outage(false), FaultScope.forInstances("entry-1"));
      assertThat(client.get(RECORDS, "X-Instance", "entry-1").statusCode()).isEqualTo(503);
      assertThat(client.get(RECORDS, "X-Instance", "entry-2").statusCode()).isEqualTo(200);
      platform.injectFault(new PlatformFault.None());
      assertThat(client.get(RECORDS, "X-Instance", "entry-1").statusCode()).isEqualTo(200);
    }
  }

  @Nested
  class Control {
    // Guards against a misspelt parameter that is ignored, so that a test runs without its fault.
    @Test
    void rejectsUnknownParametersAndValues() throws Exception {
      HttpResponse<String> response = client.post("/control", "fault=outtage&delay=3");
      assertThat(response.statusCode()).isEqualTo(400);
      assertThat(response.body()).contains("fault: found \\\"outtage\\\"; expected outage, slow");
      assertThat(response.body()).contains("delay: found an unknown parameter");
    }
  }
}
