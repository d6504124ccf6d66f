package org.bergamotcross.core.config;

/**
 * A pool and its weight within a route.
 *
 * @param pool the pool
 * @param weight the weight relative to the other pools of the route, above 0
 */
public record WeightedPool(PoolId pool, double weight) {}
