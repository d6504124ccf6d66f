package org.bergamotcross.core.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.membership.Members;

/**
 * What is in force at one offset of the log; immutable, and safe to hand to any thread.
 *
 * <p>Built once for each accepted record by {@link #of}; look-ups take constant time, but for the
 * route, which takes time in the number of segments of the path.
 */
public final class Configuration {
  /** Nothing is configured. */
  public static final Configuration EMPTY = of(-1, Map.of(), Set.of(), Members.NONE);

  private static final String ANY_HOST = "";

  private final long offset;
  private final Map<String, TeamSettings> teams;
  private final Set<KeyHash> withdrawn;
  private final Members members;
  private final Map<KeyHash, Key> keys = new HashMap<>();
  private final Map<OrganisationId, Organisation> organisations = new HashMap<>();
  private final Map<PoolId, Pool> pools = new HashMap<>();
  // By host, in which "" stands for all hosts, and path prefix.
  private final Map<String, Map<String, Route>> routes = new HashMap<>();

  private Configuration(
      long offset, Map<String, TeamSettings> teams, Set<KeyHash> withdrawn, Members members) {
    this.offset = offset;
    this.teams = Map.copyOf(teams);
    this.withdrawn = Set.copyOf(withdrawn);
    this.members = members;
    for (TeamSettings team : teams.values()) {
      team.organisations().forEach(o -> organisations.put(o.id(), o));
      team.keys().forEach(key -> keys.put(key.hash(), key));
      team.pools().forEach(pool -> pools.put(pool.id(), pool));
      team.routes()
          .forEach(
              route ->
                  routes
                      .computeIfAbsent(route.host().orElse(ANY_HOST), host -> new HashMap<>())
                      .put(route.path(), route));
    }
  }

  /**
   * Builds the configuration in force.
   *
   * @param offset the offset of the last record that was folded, -1 for none
   * @param teams the subtrees by team
   * @param withdrawn the keys that are withdrawn for ever
   * @param members the members
   * @return the configuration
   */
  public static Configuration of(
      long offset, Map<String, TeamSettings> teams, Set<KeyHash> withdrawn, Members members) {
    return new Configuration(offset, teams, withdrawn, members);
  }

  /**
   * Returns the offset.
   *
   * @return the offset of the last record that was folded, -1 for none
   */
  public long offset() {
    return offset;
  }

  /**
   * Returns the members.
   *
   * @return the members at this offset
   */
  public Members members() {
    return members;
  }

  /**
   * Returns the subtrees.
   *
   * @return the subtrees by team
   */
  public Map<String, TeamSettings> teams() {
    return teams;
  }

  /**
   * Finds a key that is in force.
   *
   * @param hash the hash of what the caller presents
   * @return the key; nothing when it is unknown or withdrawn
   */
  public Optional<Key> key(KeyHash hash) {
    return isWithdrawn(hash) ? Optional.empty() : Optional.ofNullable(keys.get(hash));
  }

  /**
   * Tells whether a key is withdrawn.
   *
   * @param hash the hash of the key
   * @return whether a withdrawal has been recorded, also when an edit lists the key again
   */
  public boolean isWithdrawn(KeyHash hash) {
    return withdrawn.contains(hash);
  }

  /**
   * Finds an organisation.
   *
   * @param id the id
   * @return the organisation
   */
  public Optional<Organisation> organisation(OrganisationId id) {
    return Optional.ofNullable(organisations.get(id));
  }

  /**
   * Returns all organisations.
   *
   * @return the organisations of all teams
   */
  public Collection<Organisation> organisations() {
    return organisations.values();
  }

  /**
   * Finds a pool.
   *
   * @param id the id
   * @return the pool
   */
  public Optional<Pool> pool(PoolId id) {
    return Optional.ofNullable(pools.get(id));
  }

  /**
   * Returns all pools.
   *
   * @return the pools of all teams
   */
  public Collection<Pool> pools() {
    return pools.values();
  }

  /**
   * Finds the route with the longest path that is a prefix of the given one.
   *
   * <p>The routes of the host go before those of all hosts.
   *
   * @param host the host of the request in lower case, without a port
   * @param path the path of a request, without the query
   * @return the route
   */
  public Optional<Route> route(Optional<String> host, String path) {
    return host.map(routes::get)
        .flatMap(ofHost -> longestPrefix(ofHost, path))
        .or(() -> longestPrefix(routes.getOrDefault(ANY_HOST, Map.of()), path));
  }

  private static Optional<Route> longestPrefix(Map<String, Route> candidates, String path) {
    String prefix = path;
    while (!prefix.isEmpty()) {
      Route route = candidates.get(prefix);
      if (route != null) {
        return Optional.of(route);
      }
      // "/a/b" is followed by "/a/", which matches what lies below, and that by "/a".
      prefix =
          prefix.endsWith("/")
              ? prefix.substring(0, prefix.length() - 1)
              : prefix.substring(0, prefix.lastIndexOf('/') + 1);
    }
    return Optional.empty();
  }

  /**
   * Tells whether callers have to present keys.
   *
   * @return whether any organisation is configured
   */
  public boolean hasOrganisations() {
    return !organisations.isEmpty();
  }
}
