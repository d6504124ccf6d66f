package org.bergamotcross.cli;

import com.typesafe.config.ConfigFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Reads the status pages of instances, all at the same time. */
final class InstanceClient implements AutoCloseable {
  // The first request of a process loads the HTTP client; on a busy machine that took over 2 s.
  private static final Duration LIMIT = Duration.ofSeconds(5);
  private static final String CONFIG =
      """
      pekko.daemonic = on
      pekko.loglevel = OFF
      pekko.stdout-loglevel = OFF
      pekko.coordinated-shutdown.run-by-jvm-shutdown-hook = off
      pekko.http.host-connection-pool.max-retries = 0
      """;

  private final ActorSystem system =
      ActorSystem.create(
          "instance-client", ConfigFactory.parseString(CONFIG).withFallback(ConfigFactory.load()));

  /**
   * Asks instances for their status.
   *
   * @param addresses their operations ports
   * @return the answers in the same order
   */
  List<InstanceStatus> statuses(List<InetSocketAddress> addresses) {
    List<CompletableFuture<InstanceStatus>> asked = new ArrayList<>();
    addresses.forEach(address -> asked.add(ask(address)));
    return asked.stream().map(CompletableFuture::join).toList();
  }

  private CompletableFuture<InstanceStatus> ask(InetSocketAddress address) {
    String uri = "http://" + text(address) + "/status";
    return Http.get(system)
        .singleRequest(HttpRequest.create(uri))
        .thenCompose(
            response ->
                response
                    .entity()
                    .toStrict(LIMIT.toMillis(), system)
                    .thenApply(entity -> status(address, response, entity.getData().utf8String())))
        .toCompletableFuture()
        .orTimeout(LIMIT.toMillis(), TimeUnit.MILLISECONDS)
        .exceptionally(failure -> new InstanceStatus.Silent(address, reason(failure)));
  }

  private static InstanceStatus status(
      InetSocketAddress address, HttpResponse response, String body) {
    if (response.status().intValue() != 200) {
      return new InstanceStatus.Silent(address, "HTTP status " + response.status().intValue());
    }
    Map<String, String> values = new LinkedHashMap<>();
    body.lines().forEach(line -> KeyValueLine.read(line).ifPresent(values::putAll));
    return new InstanceStatus.Known(address, values);
  }

  private static String reason(Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    return switch (cause) {
      case java.util.concurrent.TimeoutException ignored -> "no answer within " + LIMIT;
      default -> "no connection";
    };
  }

  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  @Override
  public void close() {
    var unused = system.terminate();
  }
}
