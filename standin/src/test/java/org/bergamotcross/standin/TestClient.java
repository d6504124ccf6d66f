package org.bergamotcross.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** HTTP client for the tests of the stand-ins. */
final class TestClient implements AutoCloseable {
  static final Duration TIMEOUT = Duration.ofSeconds(10);
  static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final InetSocketAddress address;

  TestClient(InetSocketAddress address) {
    this.address = address;
  }

  HttpRequest.Builder request(String path, String... headers) {
    URI uri = URI.create("http://127.0.0.1:" + address.getPort() + path);
    HttpRequest.Builder builder = HttpRequest.newBuilder(uri).timeout(TIMEOUT);
    return headers.length == 0 ? builder : builder.headers(headers);
  }

  HttpResponse<String> get(String path, String... headers) throws Exception {
    return send(request(path, headers).GET());
  }

  HttpResponse<String> post(String path, String body, String... headers) throws Exception {
    return send(request(path, headers).POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
    return http.send(request.build(), BodyHandlers.ofString());
  }

  CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
    return http.sendAsync(request.build(), BodyHandlers.ofString());
  }

  /** Polls a condition until it holds; fails after {@link #TIMEOUT}. */
  static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError("the condition was not met within " + TIMEOUT);
      }
      Thread.sleep(5);
    }
  }

  @Override
  public void close() {
    http.shutdownNow();
  }
}
