package org.bergamotcross.entry.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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
import org.bergamotcross.entry.AttemptEvent;
import org.bergamotcross.entry.TargetSender;
import org.bergamotcross.entry.framing.ResponseFault;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.EventLog;
import org.bergamotcross.kernel.TimeSource;

/**
 * Sends requests to targets over a connection pool of its own.
 *
 * <p>Pekko's host connection pool is not used, because it retries requests on its own and can't
 * cancel a request by closing its connection.
 */
final class TargetClient implements TargetSender {
  // A target keeps about 400 connections for 17 to 18 instances; with 4 slots and 2 extra idle
  // connections, the instances use a quarter of them.
  private static final int EXTRA_IDLE_CONNECTIONS = 2;
  // Below the shortest common idle time-out of servers (15 s).
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(10);
  // If the target closes the idle connection while a non-idempotent request is being sent, the
  // outcome is "unknown" and the request cannot be retried.
  private static final Duration MAX_IDLE_TIME_NON_IDEMPOTENT = Duration.ofSeconds(1);

  private record Address(String host, int port) {}

  private final ActorSystem system;
  private final Materializer materializer;
  private final ClientConnectionSettings settings;
  private final HttpOptions options;
  private final EventLog events;
  private final ResponseBufferBudget buffers = ResponseBufferBudget.ofHeap();
  private final TimeSource time;
  private final Map<Address, ConcurrentLinkedDeque<TargetConnection>> idleConnections =
      new ConcurrentHashMap<>();

  TargetClient(ActorSystem system, HttpOptions options, EventLog events, TimeSource time) {
    this.options = options;
    this.events = events;
    this.system = system;
    this.materializer = SystemMaterializer.get(system).materializer();
    this.settings = PekkoHttpSettings.client(system);
    this.time = time;
  }

  @Override
  public AttemptHandle send(
      AdmittedRequest request,
      Target target,
      int number,
      int slots,
      Consumer<AttemptEvent> events) {
    CallerExchange exchange = exchangeOf(request);
    ConcurrentLinkedDeque<TargetConnection> idle = idleConnectionsTo(target);
    TargetAttempt attempt =
        new TargetAttempt(
            exchange,
            request,
            options,
            buffers,
            materializer,
            events,
            reusable -> release(reusable, idle, slots));
    HttpRequest outgoing =
        buildRequest(exchange.request(), request, target, number, attempt.requestEntity());
    if (!sendOnIdle(idle, request.idempotent(), outgoing, exchange.id(), attempt)) {
      TargetConnection connection =
          new TargetConnection(
              target, settings, system, materializer, fault -> reportFault(target, fault));
      attempt.attachTo(connection);
      sendOnNew(connection, outgoing, exchange.id(), attempt);
    }
    return attempt;
  }

  /**
   * Sends a request on a connection that was just created, and reports a failure to connect that
   * happened before the request was handed over. On a busy machine the connection may already have
   * been refused, and nothing else would report that.
   */
  static void sendOnNew(
      TargetConnection connection,
      HttpRequest outgoing,
      String requestId,
      TargetConnection.ResponseListener listener) {
    if (!connection.send(outgoing, requestId, listener)) {
      connection.close();
      listener.onConnectFailed();
    }
  }

  @Override
  public boolean isRepeatable(AdmittedRequest request) {
    return exchangeOf(request).request().entity().isStrict();
  }

  @Override
  public boolean isCallerWaiting(AdmittedRequest request) {
    return exchangeOf(request).isAwaited();
  }

  /** Closes idle connections that are unusable or have been idle for too long. */
  void closeExpired() {
    ClockReading now = time.now();
    idleConnections
        .values()
        .forEach(
            idle ->
                idle.removeIf(
                    connection -> {
                      boolean expired =
                          !connection.isUsable()
                              || isExpired(connection, maxIdleTime(connection, true), now);
                      if (expired) {
                        connection.close();
                      }
                      return expired;
                    }));
    idleConnections.values().removeIf(ConcurrentLinkedDeque::isEmpty);
  }

  private void reportFault(Target target, ResponseFault fault) {
    EventLog.Event event =
        events.event("target.connection-closed").with("target", target.id().value());
    switch (fault) {
      case ResponseFault.Surplus ignored -> event.with("reason", "surplus").emit();
      case ResponseFault.Invalid invalid ->
          event.with("reason", "invalid").with("detail", invalid.detail()).emit();
    }
  }

  private ConcurrentLinkedDeque<TargetConnection> idleConnectionsTo(Target target) {
    return idleConnections.computeIfAbsent(
        new Address(target.host(), target.port()), address -> new ConcurrentLinkedDeque<>());
  }

  private boolean sendOnIdle(
      ConcurrentLinkedDeque<TargetConnection> idle,
      boolean idempotent,
      HttpRequest outgoing,
      String requestId,
      TargetAttempt attempt) {
    ClockReading now = time.now();
    for (Optional<TargetConnection> next = takeIdle(idle, idempotent, requestId, now);
        next.isPresent();
        next = takeIdle(idle, idempotent, requestId, now)) {
      TargetConnection connection = next.get();
      attempt.attachTo(connection);
      if (connection.send(outgoing, requestId, attempt)) {
        return true;
      }
      connection.close();
    }
    return false;
  }

  /**
   * Takes an idle connection that has not carried a request with the same id. A copy of the
   * response to an earlier attempt could otherwise be taken for the response to this one.
   */
  private static Optional<TargetConnection> takeIdle(
      ConcurrentLinkedDeque<TargetConnection> idle,
      boolean idempotent,
      String requestId,
      ClockReading now) {
    List<TargetConnection> skipped = new ArrayList<>();
    Optional<TargetConnection> taken = Optional.empty();
    Optional<TargetConnection> next = pollNewest(idle);
    while (taken.isEmpty() && next.isPresent()) {
      TargetConnection connection = next.get();
      if (!connection.isUsable()
          || isExpired(connection, maxIdleTime(connection, idempotent), now)) {
        connection.close();
      } else if (connection.mayHaveCarried(requestId)) {
        skipped.add(connection);
      } else {
        taken = next;
      }
      next = taken.isPresent() ? Optional.empty() : pollNewest(idle);
    }
    skipped.reversed().forEach(idle::addFirst);
    return taken;
  }

  /** Returns the idle time limit: a fraction of the target's keep-alive time-out if it sent one. */
  private static Duration maxIdleTime(TargetConnection connection, boolean idempotent) {
    Duration defaultTime = idempotent ? MAX_IDLE_TIME : MAX_IDLE_TIME_NON_IDEMPOTENT;
    return connection
        .keepAliveTimeout()
        .map(keepAlive -> keepAlive.multipliedBy(idempotent ? 3 : 2).dividedBy(4))
        .filter(keepAlive -> !idempotent || keepAlive.compareTo(defaultTime) < 0)
        .orElse(defaultTime);
  }

  private static Optional<TargetConnection> pollNewest(
      ConcurrentLinkedDeque<TargetConnection> idle) {
    return Optional.ofNullable(idle.pollFirst());
  }

  private static boolean isExpired(
      TargetConnection connection, Duration maxIdle, ClockReading now) {
    return now.since(connection.idleSince()).compareTo(maxIdle) > 0;
  }

  private void release(
      TargetConnection connection, ConcurrentLinkedDeque<TargetConnection> idle, int slots) {
    connection.release(time.now());
    if (connection.isUsable() && idle.size() < slots + EXTRA_IDLE_CONNECTIONS) {
      idle.addFirst(connection);
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
