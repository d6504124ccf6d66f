package org.bergamotcross.core.config;

/**
 * An organisation and what it may use over all instances together.
 *
 * @param id the id
 * @param rate requests per second, above 0
 * @param burst requests at once, at least 1
 */
public record Organisation(OrganisationId id, double rate, double burst) {}
