package org.bergamotcross.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;

/** Sends requests to entry instances on behalf of organisations. */
final class QuickstartCaller implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  // The instance responds within the timeout of the request; the margin only bounds a hanging call.
  private static final Duration TIMEOUT_MARGIN = Duration.ofSeconds(5);

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final String path;
  private final Duration timeout;

  QuickstartCaller(String path, Duration timeout) {
    this.path = path;
    this.timeout = timeout;
  }

  /** Sends a GET request, with an API key if one is given. */
  RequestResult get(String instance, String id, String organisation, Optional<String> key)
      throws InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + instance + path))
            .timeout(timeout.plus(TIMEOUT_MARGIN))
            .header("X-Request-Id", id)
            .header("X-Request-Timeout-Ms", "" + timeout.toMillis());
    key.ifPresent(k -> request.header("Authorization", "Bearer " + k));
    try {
      return toResult(
          instance,
          id,
          organisation,
          http.send(request.build(), HttpResponse.BodyHandlers.ofString()));
    } catch (IOException e) {
      return new RequestResult(
          id, organisation, instance, 0, "", "", "", Optional.of(e.toString()), Optional.empty());
    }
  }

  private static RequestResult toResult(
      String instance, String id, String organisation, HttpResponse<String> response)
      throws IOException {
    boolean isOk = response.statusCode() == 200;
    JsonNode body = isOk ? JSON.readTree(response.body()) : JSON.createObjectNode();
    return new RequestResult(
        id,
        organisation,
        instance,
        response.statusCode(),
        body.path("organisation").asText(),
        body.path("request").asText(),
        body.path("target").asText(),
        response.headers().firstValue("X-Bergamotcross-Refusal"),
        response.headers().firstValue("X-Bergamotcross-Outcome"));
  }

  @Override
  public void close() {
    http.shutdownNow();
  }
}
