package org.bergamotcross.core.admission;

import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.InstanceId;

/** A change of what an instance believes about rates, for the log. */
public sealed interface RateEvent {

  /**
   * The tokens of an organisation are now asked of another instance.
   *
   * @param organisation the organisation
   * @param owner the instance that is asked, which may be the own one
   * @param heard the number of peers that are heard
   * @param known the number of peers that count as running
   */
  record OwnerChanged(OrganisationId organisation, InstanceId owner, int heard, int known)
      implements RateEvent {}

  /**
   * An instance did not answer an ask in time.
   *
   * @param organisation the organisation
   * @param owner the instance
   */
  record AskUnanswered(OrganisationId organisation, InstanceId owner) implements RateEvent {}
}
