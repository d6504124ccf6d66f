package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.bergamotcross.core.config.ApiKey;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.core.config.Route;
import org.bergamotcross.kernel.ClockReading;

/**
 * Checks a request against the configuration: key, route, permission, method and deadline.
 *
 * <pre>{@code
 * switch (new RequestCheck(configuration, freshUntil, maxTimeout).check(request, now)) {
 *   case RequestCheck.Result.Passed passed -> forward(passed);
 *   case RequestCheck.Result.Refused refused -> refuse(refused.refusal());
 * }
 * }</pre>
 *
 * @param configuration the configuration in force
 * @param freshUntil until when the instance may act on it; empty until it is first confirmed
 * @param maxTimeout the longest time for a request on this instance
 */
public record RequestCheck(
    Configuration configuration, Optional<ClockReading> freshUntil, Duration maxTimeout) {

  /**
   * The properties of a request that the check needs.
   *
   * @param method the HTTP method
   * @param host the host that the request names, in lower case, without a port
   * @param path the path without the query
   * @param keys the distinct keys that it presents
   * @param timeout the timeout that the caller set
   * @param receivedAt when the request arrived
   */
  public record Request(
      String method,
      Optional<String> host,
      String path,
      List<String> keys,
      Optional<Duration> timeout,
      ClockReading receivedAt) {
    /** Copies the list so that the record is immutable. */
    public Request {
      keys = List.copyOf(keys);
    }
  }

  /** The result of a check. */
  public sealed interface Result {

    /**
     * The request may run.
     *
     * @param key the key of the request; empty if the route needs none
     * @param route the route
     * @param idempotent whether the method is idempotent on the route
     * @param deadline when the caller stops waiting for a response
     */
    record Passed(Optional<ApiKey> key, Route route, boolean idempotent, ClockReading deadline)
        implements Result {}

    /**
     * The request may not run.
     *
     * @param refusal the reason
     */
    record Refused(Refusal refusal) implements Result {}
  }

  /**
   * Checks a request.
   *
   * @param request the request
   * @param now the current time
   * @return the result; every refusal has the outcome {@link ExecutionOutcome#NOT_RUN}
   */
  public Result check(Request request, ClockReading now) {
    if (freshUntil.isEmpty()) {
      return refused(new Refusal.NotReady());
    }
    if (!now.isBefore(freshUntil.get())) {
      return refused(new Refusal.StaleConfiguration());
    }
    Optional<Route> open =
        configuration.route(request.host(), request.path()).filter(this::isOpenWithoutKey);
    if (open.isPresent() && !hasDotSegment(request.path())) {
      return checkMethodAndDeadline(Optional.empty(), open.get(), request, now);
    }
    return switch (request.keys().size()) {
      case 0 -> refused(new Refusal.MissingKey());
      case 1 -> checkKey(KeyHash.of(request.keys().getFirst()), request, now);
      default -> refused(new Refusal.ConflictingKeys());
    };
  }

  private boolean isOpenWithoutKey(Route route) {
    return !route.requiresKey() || !configuration.hasOrganisations();
  }

  private Result checkKey(KeyHash hash, Request request, ClockReading now) {
    if (configuration.isWithdrawn(hash)) {
      return refused(new Refusal.WithdrawnKey());
    }
    return configuration
        .key(hash)
        .map(key -> checkRoute(key, request, now))
        .orElseGet(() -> refused(new Refusal.UnknownKey()));
  }

  private Result checkRoute(ApiKey key, Request request, ClockReading now) {
    if (hasDotSegment(request.path())) {
      return refused(new Refusal.NoRoute(request.path()));
    }
    return configuration
        .route(request.host(), request.path())
        .map(route -> checkPermission(key, route, request, now))
        .orElseGet(() -> refused(new Refusal.NoRoute(request.path())));
  }

  private Result checkPermission(ApiKey key, Route route, Request request, ClockReading now) {
    if (!route.allowsOrganisation(key.organisation())) {
      return refused(new Refusal.OrganisationNotAllowed(route.name()));
    }
    return checkMethodAndDeadline(Optional.of(key), route, request, now);
  }

  private Result checkMethodAndDeadline(
      Optional<ApiKey> key, Route route, Request request, ClockReading now) {
    if (!route.acceptsMethod(request.method())) {
      return refused(new Refusal.MethodNotAllowed(request.method(), route.name()));
    }
    ClockReading deadline = deadline(route, request);
    if (!now.isBefore(deadline)) {
      return refused(new Refusal.DeadlineBeforeSend());
    }
    return new Result.Passed(key, route, route.isIdempotent(request.method()), deadline);
  }

  private ClockReading deadline(Route route, Request request) {
    Duration allowed = shorter(route.limits().timeout(), maxTimeout);
    return request
        .receivedAt()
        .plus(request.timeout().map(t -> shorter(t, allowed)).orElse(allowed));
  }

  private static Duration shorter(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }

  /**
   * Returns whether a target could resolve the path to one that belongs to another route.
   *
   * <p>Encoded dots and slashes count, because many servers decode the path before they resolve it.
   */
  private static boolean hasDotSegment(String path) {
    if (path.indexOf('.') < 0 && path.indexOf('%') < 0) {
      return false;
    }
    String decoded =
        path.toLowerCase(Locale.ROOT)
            .replace("%2e", ".")
            .replace("%2f", "/")
            .replace("%5c", "/")
            .replace('\\', '/');
    for (String segment : decoded.split("/", -1)) {
      if (segment.equals(".") || segment.equals("..")) {
        return true;
      }
    }
    return false;
  }

  private static Result refused(Refusal refusal) {
    return new Result.Refused(refusal);
  }
}
