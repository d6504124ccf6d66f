package org.bergamotcross.core.config;

import java.util.Optional;

/**
 * An organisation and its limits across all instances.
 *
 * @param id the id
 * @param rate requests per second, above 0; infinite when there is no limit
 * @param burst the number of requests at once, at least 1; infinite when there is no limit
 * @param priority the priority of its requests, which overrides the priority of the route
 */
public record Organisation(
    OrganisationId id, double rate, double burst, Optional<Integer> priority) {

  /**
   * Creates an organisation whose requests have the priority of their route.
   *
   * @param id the id
   * @param rate requests per second, above 0
   * @param burst the number of requests at once, at least 1
   */
  public Organisation(OrganisationId id, double rate, double burst) {
    this(id, rate, burst, Optional.empty());
  }

  /**
   * Tells whether the request rate of the organisation is limited.
   *
   * @return whether it is
   */
  public boolean isLimited() {
    return !Double.isInfinite(rate);
  }
}
