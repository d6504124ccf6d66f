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
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.bergamotcross.entry.framing.InvalidResponseException;
import org.bergamotcross.entry.platform.ValidatingTransport;

/** Fetches the status pages of instances concurrently. */
final class InstanceClient implements AutoCloseable {
  // The first request of a process loads the HTTP client, which took over 2 s on a busy machine.
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final String PEKKO_CONFIG =
      """
      pekko.daemonic = on
      pekko.loglevel = OFF
      pekko.stdout-loglevel = OFF
      pekko.coordinated-shutdown.run-by-jvm-shutdown-hook = off
      pekko.http.host-connection-pool.max-retries = 0
      """;

  private final ActorSystem system =
      ActorSystem.create(
          "instance-client",
          ConfigFactory.parseString(PEKKO_CONFIG).withFallback(ConfigFactory.load()));
  private final ConnectionPoolSettings pool =
      ConnectionPoolSettings.create(system).withTransport(new ValidatingTransport());

  /**
   * Fetches the status of each instance.
   *
   * @param addresses the operations addresses of the instances
   * @return the statuses in the order of the addresses
   */
  List<InstanceStatus> fetchStatuses(List<InetSocketAddress> addresses) {
    List<CompletableFuture<InstanceStatus>> pending = new ArrayList<>();
    addresses.forEach(address -> pending.add(fetchStatus(address)));
    return pending.stream().map(CompletableFuture::join).toList();
  }

  private CompletableFuture<InstanceStatus> fetchStatus(InetSocketAddress address) {
    String uri = "http://" + formatAddress(address) + "/status";
    Http http = Http.get(system);
    return http.singleRequest(
            HttpRequest.create(uri), http.defaultClientHttpsContext(), pool, system.log())
        .thenCompose(
            response ->
                response
                    .entity()
                    .toStrict(REQUEST_TIMEOUT.toMillis(), system)
                    .thenApply(
                        entity -> parseStatus(address, response, entity.getData().utf8String())))
        .toCompletableFuture()
        .orTimeout(REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .exceptionally(
            failure -> new InstanceStatus.Unavailable(address, describeFailure(failure)));
  }

  private static InstanceStatus parseStatus(
      InetSocketAddress address, HttpResponse response, String body) {
    if (response.status().intValue() != 200) {
      return new InstanceStatus.Unavailable(address, "HTTP status " + response.status().intValue());
    }
    Map<String, String> values = new LinkedHashMap<>();
    body.lines().forEach(line -> KeyValueLine.parse(line).ifPresent(values::putAll));
    return new InstanceStatus.Reported(address, values);
  }

  private static String describeFailure(Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    return switch (cause) {
      case java.util.concurrent.TimeoutException ignored -> "no answer within " + REQUEST_TIMEOUT;
      case InvalidResponseException ignored -> "invalid response";
      default -> "no connection";
    };
  }

  static String formatAddress(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  @Override
  public void close() {
    var unused = system.terminate();
  }
}
