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
  private static final int SPARE_CONNECTIONS = 2;
  // Below the shortest idle limit that servers commonly have (15 s).
  private static final Duration MAX_IDLE = Duration.ofSeconds(10);
  // A target that closes an idle connection just then leaves a non-idempotent request "unknown".
  private static final Duration MAX_IDLE_NOT_IDEMPOTENT = Duration.ofSeconds(1);

  private record Address(String host, int port) {}

  private final ActorSystem system;
  private final Materializer materializer;
  private final ClientConnectionSettings settings;
  private final PathOptions options;
  private final TimeSource time;
  private final Map<Address, ConcurrentLinkedDeque<TargetConnection>> idle =
      new ConcurrentHashMap<>();

  TargetClient(ActorSystem system, PathOptions options, TimeSource time) {
    this.options = options;
    this.system = system;
    this.materializer = SystemMaterializer.get(system).materializer();
    this.settings = HttpSettings.client(system);
    this.time = time;
  }

  @Override
  public Sending send(
      AdmittedRequest request, Target target, int number, int slots, Consumer<SendEvent> events) {
    CallerExchange caller = exchange(request);
    ConcurrentLinkedDeque<TargetConnection> spares = spares(target);
    Attempt attempt =
        new Attempt(
            caller,
            request,
            options,
            materializer,
            events,
            connection -> keep(connection, spares, slots));
    HttpRequest outgoing = outgoing(caller.request(), request, target, number, attempt.body());
    if (!sendOnIdle(spares, request.idempotent(), outgoing, attempt)) {
      TargetConnection fresh = new TargetConnection(target, settings, system, materializer);
      attempt.carriedBy(fresh);
      sendOnFresh(fresh, outgoing, attempt);
    }
    return attempt;
  }

  /**
   * Sends on a connection that was just created. On a busy machine it can have been refused by now,
   * and then nobody else reports the end.
   */
  static void sendOnFresh(
      TargetConnection fresh, HttpRequest outgoing, TargetConnection.User user) {
    if (!fresh.send(outgoing, user)) {
      user.connectFailed();
    }
  }

  @Override
  public boolean isRepeatable(AdmittedRequest request) {
    return exchange(request).request().entity().isStrict();
  }

  @Override
  public boolean isAwaited(AdmittedRequest request) {
    return exchange(request).isAwaited();
  }

  /** Closes the connections that were idle for too long. */
  void prune() {
    Now now = time.now();
    idle.values()
        .forEach(
            spares ->
                spares.removeIf(
                    connection -> {
                      boolean drop =
                          !connection.isUsable()
                              || isOld(connection, maxIdle(connection, true), now);
                      if (drop) {
                        connection.close();
                      }
                      return drop;
                    }));
    idle.values().removeIf(ConcurrentLinkedDeque::isEmpty);
  }

  private ConcurrentLinkedDeque<TargetConnection> spares(Target target) {
    return idle.computeIfAbsent(
        new Address(target.host(), target.port()), address -> new ConcurrentLinkedDeque<>());
  }

  private boolean sendOnIdle(
      ConcurrentLinkedDeque<TargetConnection> spares,
      boolean idempotent,
      HttpRequest outgoing,
      Attempt attempt) {
    Now now = time.now();
    for (Optional<TargetConnection> next = take(spares); next.isPresent(); next = take(spares)) {
      TargetConnection connection = next.get();
      if (connection.isUsable() && !isOld(connection, maxIdle(connection, idempotent), now)) {
        attempt.carriedBy(connection);
        if (connection.send(outgoing, attempt)) {
          return true;
        }
      }
      connection.close();
    }
    return false;
  }

  /** A target that says for how long it keeps an idle connection is believed for a part of it. */
  private static Duration maxIdle(TargetConnection connection, boolean idempotent) {
    Duration usual = idempotent ? MAX_IDLE : MAX_IDLE_NOT_IDEMPOTENT;
    return connection
        .keptFor()
        .map(kept -> kept.multipliedBy(idempotent ? 3 : 2).dividedBy(4))
        .filter(kept -> !idempotent || kept.compareTo(usual) < 0)
        .orElse(usual);
  }

  private static Optional<TargetConnection> take(ConcurrentLinkedDeque<TargetConnection> spares) {
    return Optional.ofNullable(spares.pollFirst());
  }

  private static boolean isOld(TargetConnection connection, Duration maxIdle, Now now) {
    return now.since(connection.idleSince()).compareTo(maxIdle) > 0;
  }

  private void keep(
      TargetConnection connection, ConcurrentLinkedDeque<TargetConnection> spares, int slots) {
    connection.release(time.now());
    if (connection.isUsable() && spares.size() < slots + SPARE_CONNECTIONS) {
      spares.addFirst(connection);
    } else {
      connection.close();
    }
  }

  private HttpRequest outgoing(
      HttpRequest caller, AdmittedRequest admitted, Target target, int number, RequestEntity body) {
    return HttpRequest.create()
        .withMethod(caller.method())
        .withUri(caller.getUri().toRelative())
        .withHeaders(
            TargetHeaders.build(caller, admitted, target, number, options.names(), time.now()))
        .withEntity(body);
  }

  private static CallerExchange exchange(AdmittedRequest request) {
    if (request.request().handle() instanceof CallerExchange exchange) {
      return exchange;
    }
    throw new IllegalArgumentException(
        "request " + request.request().id() + " did not arrive over HTTP");
  }
}
