package org.bergamotcross.core.config;

import java.util.List;

/**
 * The settings of one team, published together by one edit.
 *
 * @param team the name of the team
 * @param organisations the organisations
 * @param keys the keys
 * @param pools the pools
 * @param routes the routes
 */
public record TeamSettings(
    String team,
    List<Organisation> organisations,
    List<ApiKey> keys,
    List<Pool> pools,
    List<Route> routes) {

  public TeamSettings {
    organisations = List.copyOf(organisations);
    keys = List.copyOf(keys);
    pools = List.copyOf(pools);
    routes = List.copyOf(routes);
  }
}
