package org.bergamotcross.core.config;

/**
 * A pool with its share of the requests of a route.
 *
 * @param pool the pool
 * @param weight the share relative to the other pools of the route, above 0
 */
public record WeightedPool(PoolId pool, double weight) {}
