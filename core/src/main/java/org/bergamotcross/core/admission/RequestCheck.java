package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Key;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.core.config.Route;
import org.bergamotcross.kernel.Now;

/**
 * Decides whether a request may run, as far as one instance can tell from the configuration.
 *
 * <pre>{@code
 * switch (new RequestCheck(configuration, freshUntil, maxTimeout).check(facts, now)) {
 *   case RequestCheck.Result.Passed passed -> forward(passed);
 *   case RequestCheck.Result.Refused refused -> refuse(refused.refusal());
 * }
 * }</pre>
 *
 * @param configuration the configuration in force
 * @param freshUntil when the instance must stop to act on it; nothing before it was first confirmed
 * @param maxTimeout the longest time for a request on this instance
 */
public record RequestCheck(
    Configuration configuration, Optional<Now> freshUntil, Duration maxTimeout) {

  /**
   * What the decision needs to know of a request.
   *
   * @param method the HTTP method
   * @param host the host that the request names, in lower case, without a port
   * @param path the path without the query
   * @param keys the different keys that it presents
   * @param timeout the longest time that the caller allows
   * @param receivedAt when the request arrived
   */
  public record Facts(
      String method,
      Optional<String> host,
      String path,
      List<String> keys,
      Optional<Duration> timeout,
      Now receivedAt) {
    /** Copies the list. */
    public Facts {
      keys = List.copyOf(keys);
    }
  }

  /** The decision. */
  public sealed interface Result {

    /**
     * The request may run.
     *
     * @param key the key that it came with; nothing on a route that needs none
     * @param route the route
     * @param idempotent whether the method may be repeated
     * @param deadline when the caller stops waiting
     */
    record Passed(Optional<Key> key, Route route, boolean idempotent, Now deadline)
        implements Result {}

    /**
     * The request may not run.
     *
     * @param refusal why
     */
    record Refused(Refusal refusal) implements Result {}
  }

  /**
   * Decides on a request.
   *
   * @param facts the request
   * @param now the present time
   * @return the decision; every refusal is one of {@link Outcome#NOT_RUN}
   */
  public Result check(Facts facts, Now now) {
    if (freshUntil.isEmpty()) {
      return refused(new Refusal.NotReady());
    }
    if (!now.isBefore(freshUntil.get())) {
      return refused(new Refusal.StaleConfiguration());
    }
    Optional<Route> open =
        configuration.route(facts.host(), facts.path()).filter(this::isOpenWithoutKey);
    if (open.isPresent() && !hasDotSegment(facts.path())) {
      return checkUse(Optional.empty(), open.get(), facts, now);
    }
    return switch (facts.keys().size()) {
      case 0 -> refused(new Refusal.MissingKey());
      case 1 -> checkKey(KeyHash.of(facts.keys().getFirst()), facts, now);
      default -> refused(new Refusal.ConflictingKeys());
    };
  }

  private boolean isOpenWithoutKey(Route route) {
    return !route.needsKey() || !configuration.hasOrganisations();
  }

  private Result checkKey(KeyHash hash, Facts facts, Now now) {
    if (configuration.isWithdrawn(hash)) {
      return refused(new Refusal.WithdrawnKey());
    }
    return configuration
        .key(hash)
        .map(key -> checkRoute(key, facts, now))
        .orElseGet(() -> refused(new Refusal.UnknownKey()));
  }

  private Result checkRoute(Key key, Facts facts, Now now) {
    if (hasDotSegment(facts.path())) {
      return refused(new Refusal.NoRoute(facts.path()));
    }
    return configuration
        .route(facts.host(), facts.path())
        .map(route -> checkPermission(key, route, facts, now))
        .orElseGet(() -> refused(new Refusal.NoRoute(facts.path())));
  }

  private Result checkPermission(Key key, Route route, Facts facts, Now now) {
    if (!route.allows(key.organisation())) {
      return refused(new Refusal.OrganisationNotAllowed(route.name()));
    }
    return checkUse(Optional.of(key), route, facts, now);
  }

  private Result checkUse(Optional<Key> key, Route route, Facts facts, Now now) {
    if (!route.takes(facts.method())) {
      return refused(new Refusal.MethodNotAllowed(facts.method(), route.name()));
    }
    Now deadline = deadline(route, facts);
    if (!now.isBefore(deadline)) {
      return refused(new Refusal.DeadlineBeforeSend());
    }
    return new Result.Passed(key, route, route.isIdempotent(facts.method()), deadline);
  }

  private Now deadline(Route route, Facts facts) {
    Duration allowed = shorter(route.limits().timeout(), maxTimeout);
    return facts.receivedAt().plus(facts.timeout().map(t -> shorter(t, allowed)).orElse(allowed));
  }

  private static Duration shorter(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }

  /**
   * Tells whether a target could resolve the path to one that another route guards.
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
