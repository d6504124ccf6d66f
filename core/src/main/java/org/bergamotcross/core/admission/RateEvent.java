package org.bergamotcross.core.admission;

import java.time.Duration;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.InstanceId;

/** An event of rate limiting that is reported to the event log. */
public sealed interface RateEvent {

  /**
   * The fraction of an organisation's rate that is delegated to this instance has changed.
   *
   * @param organisation the organisation
   * @param before the fraction of the whole rate that was reported last
   * @param fraction the fraction of the whole rate
   */
  record HeldFractionChanged(OrganisationId organisation, double before, double fraction)
      implements RateEvent {}

  /**
   * A holder did not respond to a token request in time.
   *
   * @param organisation the organisation
   * @param holder the holder
   */
  record RequestTimedOut(OrganisationId organisation, InstanceId holder) implements RateEvent {}

  /**
   * The monotonic clock seems to have stopped for a while, so all leases were dropped.
   *
   * @param pause how long it stopped
   */
  record LeasesDropped(Duration pause) implements RateEvent {}
}
