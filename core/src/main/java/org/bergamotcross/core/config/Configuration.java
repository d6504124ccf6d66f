package org.bergamotcross.core.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.membership.Members;

/**
 * The configuration in force at one offset of the log; immutable and thread-safe.
 *
 * <p>Built once for each accepted record by {@link #of}. Look-ups take constant time, except for
 * routes, which take time linear in the number of path segments.
 */
public final class Configuration {
  /** A configuration without any settings or members. */
  public static final Configuration EMPTY = of(-1, Map.of(), Set.of(), Members.NONE);

  private static final String ANY_HOST = "";

  private final long offset;
  private final Map<String, TeamSettings> teams;
  private final Set<KeyHash> withdrawn;
  private final Members members;
  private final Map<KeyHash, ApiKey> keys = new HashMap<>();
  private final Map<OrganisationId, Organisation> organisations = new HashMap<>();
  private final Map<PoolId, Pool> pools = new HashMap<>();
  // By host ("" stands for all hosts) and path prefix.
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
   * Builds a configuration.
   *
   * @param offset the offset of the last folded record, -1 if there is none
   * @param teams the settings by team
   * @param withdrawn the permanently withdrawn keys
   * @param members the members
   * @return the configuration
   */
  public static Configuration of(
      long offset, Map<String, TeamSettings> teams, Set<KeyHash> withdrawn, Members members) {
    return new Configuration(offset, teams, withdrawn, members);
  }

  /**
   * Returns the offset of the last folded record.
   *
   * @return the offset, -1 if there is none
   */
  public long offset() {
    return offset;
  }

  /**
   * Returns the members of the fleet.
   *
   * @return the members at {@link #offset()}
   */
  public Members members() {
    return members;
  }

  /**
   * Returns the settings of all teams.
   *
   * @return the settings by team
   */
  public Map<String, TeamSettings> teams() {
    return teams;
  }

  /**
   * Finds a key that is in force.
   *
   * @param hash the hash of the key that the caller presents
   * @return the key; empty when it is unknown or withdrawn
   */
  public Optional<ApiKey> key(KeyHash hash) {
    return isWithdrawn(hash) ? Optional.empty() : Optional.ofNullable(keys.get(hash));
  }

  /**
   * Tells whether a key is withdrawn.
   *
   * @param hash the hash of the key
   * @return whether a withdrawal was recorded, even if a later edit lists the key again
   */
  public boolean isWithdrawn(KeyHash hash) {
    return withdrawn.contains(hash);
  }

  /**
   * Finds an organisation by id.
   *
   * @param id the id
   * @return the organisation; empty when it is unknown
   */
  public Optional<Organisation> organisation(OrganisationId id) {
    return Optional.ofNullable(organisations.get(id));
  }

  /**
   * Returns the organisations of all teams.
   *
   * @return the organisations
   */
  public Collection<Organisation> organisations() {
    return organisations.values();
  }

  /**
   * Finds a pool by id.
   *
   * @param id the id
   * @return the pool; empty when it is unknown
   */
  public Optional<Pool> pool(PoolId id) {
    return Optional.ofNullable(pools.get(id));
  }

  /**
   * Returns the pools of all teams.
   *
   * @return the pools
   */
  public Collection<Pool> pools() {
    return pools.values();
  }

  /**
   * Finds the route whose path is the longest prefix of the requested path.
   *
   * <p>Routes of the host take precedence over routes of all hosts.
   *
   * @param host the host of the request in lower case, without a port
   * @param path the path of the request, without the query
   * @return the route; empty when none matches
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
      // "/a/b" is followed by "/a/", which matches everything below it, and then by "/a".
      prefix =
          prefix.endsWith("/")
              ? prefix.substring(0, prefix.length() - 1)
              : prefix.substring(0, prefix.lastIndexOf('/') + 1);
    }
    return Optional.empty();
  }

  /**
   * Tells whether any organisation is configured; if so, callers have to present keys.
   *
   * @return whether there is an organisation
   */
  public boolean hasOrganisations() {
    return !organisations.isEmpty();
  }
}
