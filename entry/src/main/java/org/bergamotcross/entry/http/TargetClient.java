package org.bergamotcross.entry.http;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.Consumer;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.RequestEntity;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.entry.SendEvent;
import org.bergamotcross.entry.TargetSender;
import org.bergamotcross.kernel.Now;
import org.bergamotcross.kernel.TimeSource;

/**
 * Sends requests to targets over its own connections.
 *
 * <p>Pekko's host connection pool is not used: it sends a request again on its own, and it can't
 * cancel one by closing its connection.
 */
final class TargetClient implements TargetSender {
  // A target keeps about 400 connections for 17 to 18 instances: 4 slots and 2 more is a quarter.
  private static final int EXTRA_IDLE_CONNECTIONS = 2;
  // Below the shortest idle limit that servers commonly have (15 s).
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(10);
  // A target that closes an idle connection just then leaves a non-idempotent request "unknown".
  private static final Duration MAX_IDLE_TIME_NON_IDEMPOTENT = Duration.ofSeconds(1);

  private record Address(String host, int port) {}

  private final ActorSystem system;
  private final Materializer materializer;
  private final ClientConnectionSettings settings;
  private final HttpOptions options;
  private final TimeSource time;
  private final Map<Address, ConcurrentLinkedDeque<TargetConnection>> idleConnections =
      new ConcurrentHashMap<>();

  TargetClient(ActorSystem system, HttpOptions options, TimeSource time) {
    this.options = options;
    this.system = system;
    this.materializer = SystemMaterializer.get(system).materializer();
    this.settings = PekkoHttpSettings.client(system);
    this.time = time;
  }

  @Override
  public Sending send(
      AdmittedRequest request, Target target, int number, int slots, Consumer<SendEvent> events) {
    CallerExchange caller = exchangeOf(request);
    ConcurrentLinkedDeque<TargetConnection> spares = idleConnectionsTo(target);
    TargetAttempt attempt =
        new TargetAttempt(
            caller,
            request,
            options,
            materializer,
            events,
            connection -> release(connection, spares, slots));
    HttpRequest outgoing =
        buildRequest(caller.request(), request, target, number, attempt.requestEntity());
    if (!sendOnIdle(spares, request.idempotent(), outgoing, attempt)) {
      TargetConnection fresh = new TargetConnection(target, settings, system, materializer);
      attempt.attachTo(fresh);
      sendOnNew(fresh, outgoing, attempt);
    }
    return attempt;
  }

  /**
   * Sends on a connection that was just created. On a busy machine it can have been refused by now,
   * and then nobody else reports the end.
   */
  static void sendOnNew(
      TargetConnection fresh, HttpRequest outgoing, TargetConnection.ResponseListener user) {
    if (!fresh.send(outgoing, user)) {
      user.onConnectFailed();
    }
  }

  @Override
  public boolean isRepeatable(AdmittedRequest request) {
    return exchangeOf(request).request().entity().isStrict();
  }

  @Override
  public boolean isAwaited(AdmittedRequest request) {
    return exchangeOf(request).isAwaited();
  }

  /** Closes the connections that were idle for too long. */
  void closeExpired() {
    Now now = time.now();
    idleConnections
        .values()
        .forEach(
            spares ->
                spares.removeIf(
                    connection -> {
                      boolean drop =
                          !connection.isUsable()
                              || isExpired(connection, maxIdleTime(connection, true), now);
                      if (drop) {
                        connection.close();
                      }
                      return drop;
                    }));
    idleConnections.values().removeIf(ConcurrentLinkedDeque::isEmpty);
  }

  private ConcurrentLinkedDeque<TargetConnection> idleConnectionsTo(Target target) {
    return idleConnections.computeIfAbsent(
        new Address(target.host(), target.port()), address -> new ConcurrentLinkedDeque<>());
  }

  private boolean sendOnIdle(
      ConcurrentLinkedDeque<TargetConnection> spares,
      boolean idempotent,
      HttpRequest outgoing,
      TargetAttempt attempt) {
    Now now = time.now();
    for (Optional<TargetConnection> next = pollNewest(spares);
        next.isPresent();
        next = pollNewest(spares)) {
      TargetConnection connection = next.get();
      if (connection.isUsable()
          && !isExpired(connection, maxIdleTime(connection, idempotent), now)) {
        attempt.attachTo(connection);
        if (connection.send(outgoing, attempt)) {
          return true;
        }
      }
      connection.close();
    }
    return false;
  }

  /** A target that says for how long it keeps an idle connection is believed for a part of it. */
  private static Duration maxIdleTime(TargetConnection connection, boolean idempotent) {
    Duration usual = idempotent ? MAX_IDLE_TIME : MAX_IDLE_TIME_NON_IDEMPOTENT;
    return connection
        .keepAliveTimeout()
        .map(kept -> kept.multipliedBy(idempotent ? 3 : 2).dividedBy(4))
        .filter(kept -> !idempotent || kept.compareTo(usual) < 0)
        .orElse(usual);
  }

  private static Optional<TargetConnection> pollNewest(
      ConcurrentLinkedDeque<TargetConnection> spares) {
    return Optional.ofNullable(spares.pollFirst());
  }

  private static boolean isExpired(TargetConnection connection, Duration maxIdle, Now now) {
    return now.since(connection.idleSince()).compareTo(maxIdle) > 0;
  }

  private void release(
      TargetConnection connection, ConcurrentLinkedDeque<TargetConnection> spares, int slots) {
    connection.release(time.now());
    if (connection.isUsable() && spares.size() < slots + EXTRA_IDLE_CONNECTIONS) {
      spares.addFirst(connection);
    } else {
      connection.close();
    }
  }

  private HttpRequest buildRequest(
      HttpRequest caller, AdmittedRequest admitted, Target target, int number, RequestEntity body) {
    return HttpRequest.create()
        .withMethod(caller.method())
        .withUri(caller.getUri().toRelative())
        .withHeaders(
            TargetRequestHeaders.build(
                caller, admitted, target, number, options.names(), time.now()))
        .withEntity(body);
  }

  private static CallerExchange exchangeOf(AdmittedRequest request) {
    if (request.request().handle() instanceof CallerExchange exchange) {
      return exchange;
    }
    throw new IllegalArgumentException(
        "request " + request.request().id() + " did not arrive over HTTP");
  }
}
