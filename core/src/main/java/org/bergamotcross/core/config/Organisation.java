package org.bergamotcross.core.config;

import java.util.Optional;

/**
 * An organisation and what it may use over all instances together.
 *
 * @param id the id
 * @param rate requests per second, above 0; infinite when there is no limit
 * @param burst requests at once, at least 1; infinite when there is no limit
 * @param priority the rank of its requests, which goes before the rank of the route
 */
public record Organisation(
    OrganisationId id, double rate, double burst, Optional<Integer> priority) {

  /**
   * Creates an organisation whose requests have the rank of their route.
   *
   * @param id the id
   * @param rate requests per second, above 0
   * @param burst requests at once, at least 1
   */
  public Organisation(OrganisationId id, double rate, double burst) {
    this(id, rate, burst, Optional.empty());
  }

  /**
   * Tells whether the organisation has a rate.
   *
   * @return false when it may send any number of requests
   */
  public boolean isLimited() {
    return !Double.isInfinite(rate);
  }
}
