package org.bergamotcross.entry.http;

import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.entry.Broadcasts.Freshness;
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.entry.OpenRequests;
import org.bergamotcross.entry.StatusSource;
import org.bergamotcross.kernel.PluginContext;

/** Serves the pages of the operations port as plain text with one name=value pair on each line. */
final class OperationsPages {
  private final PluginContext context;
  private final Supplier<Configuration> configuration;
  private final Supplier<Optional<Freshness>> freshness;
  private final BooleanSupplier stopping;

  OperationsPages(
      PluginContext context,
      Supplier<Configuration> configuration,
      Supplier<Optional<Freshness>> freshness,
      BooleanSupplier stopping) {
    this.context = context;
    this.configuration = configuration;
    this.freshness = freshness;
    this.stopping = stopping;
  }

  /**
   * Answers a request from an operator or a load balancer's health check.
   *
   * @param request the request
   * @return the page, or a response with status 404
   */
  HttpResponse answer(HttpRequest request) {
    String path = request.getUri().path();
    if (path.equals(context.settings().value(EntrySettings.READY_PATH))) {
      return health();
    }
    return switch (path) {
      case "/health" -> health();
      case "/metrics" -> page(200, metrics());
      case "/status" -> page(200, status());
      default -> page(404, Map.of("error", "no such page; use /health, /metrics or /status"));
    };
  }

  private HttpResponse health() {
    Map<String, Object> lines = new TreeMap<>();
    lines.put("configured", configuration.get().offset() >= 0);
    lines.put("fresh", isFresh());
    lines.put("stopping", stopping.getAsBoolean());
    boolean ready = configuration.get().offset() >= 0 && isFresh() && !stopping.getAsBoolean();
    lines.put("ready", ready);
    return page(ready ? 200 : 503, lines);
  }

  private Map<String, Object> status() {
    Map<String, Object> lines = new TreeMap<>();
    lines.put("instance", context.settings().value(EntrySettings.INSTANCE_ID));
    lines.put("failure-domain", context.settings().value(EntrySettings.FAILURE_DOMAIN));
    context.service(StatusSource.class).ifPresent(source -> addStatus(lines, source.status()));
    context
        .service(OpenRequests.class)
        .ifPresent(
            open -> {
              lines.put("open-requests", open.requestCount());
              lines.put("caller-connections", open.connectionCount());
            });
    return lines;
  }

  private void addStatus(Map<String, Object> lines, StatusSource.Status status) {
    lines.put("incarnation", status.incarnation());
    lines.put("offset", status.offset());
    lines.put("scanning", status.scanning());
    lines.put("epoch", status.members().epoch());
    lines.put("members", status.members().list().size());
    lines.put("fresh-source", status.freshness().source());
    lines.put(
        "fresh-for-ms", status.freshness().validUntil().since(context.time().now()).toMillis());
    status.versions().forEach((team, offset) -> lines.put("version." + team, offset));
    status.peerOffsets().forEach((peer, offset) -> lines.put("peer-offset." + peer, offset));
  }

  private Map<String, Object> metrics() {
    Map<String, Object> lines = new TreeMap<>();
    context.metrics().getGauges().forEach((name, gauge) -> lines.put(name, gauge.getValue()));
    context.metrics().getCounters().forEach((name, c) -> lines.put(name, c.getCount()));
    context.metrics().getMeters().forEach((name, m) -> lines.put(name + ".count", m.getCount()));
    context.metrics().getTimers().forEach((name, timer) -> addTimer(lines, name, timer));
    return lines;
  }

  private static void addTimer(Map<String, Object> lines, String name, Timer timer) {
    Snapshot snapshot = timer.getSnapshot();
    lines.put(name + ".count", timer.getCount());
    lines.put(name + ".p50-us", TimeUnit.NANOSECONDS.toMicros((long) snapshot.getMedian()));
    lines.put(name + ".p99-us", TimeUnit.NANOSECONDS.toMicros((long) snapshot.get99thPercentile()));
  }

  private boolean isFresh() {
    return freshness.get().filter(f -> context.time().now().isBefore(f.validUntil())).isPresent();
  }

  private static HttpResponse page(int status, Map<String, ?> lines) {
    String text =
        lines.entrySet().stream()
            .map(line -> line.getKey() + "=" + line.getValue() + "\n")
            .collect(Collectors.joining());
    return HttpResponse.create()
        .withStatus(status)
        .withEntity(HttpEntities.create(ContentTypes.TEXT_PLAIN_UTF8, text));
  }
}
