package org.bergamotcross.entry.duties;

import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.entry.AttemptEvent;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.RoutingMessage;

/** What the routing plug-in tells its own duty. */
sealed interface RoutingEvent extends RoutingMessage.Internal {

  /**
   * Something happened to an attempt; offered to the reserve.
   *
   * @param request the request
   * @param attempt the id of the attempt
   * @param event what happened
   */
  record Sending(InHand request, String attempt, AttemptEvent event) implements RoutingEvent {}

  /**
   * A peer told how its requests ended.
   *
   * @param outcomes what it told
   */
  record PeerOutcomes(OutcomeMessage outcomes) implements RoutingEvent {}

  /**
   * Limits of the fleet are divided in another way than before.
   *
   * @param view how they are divided
   */
  record FleetChanged(FleetView view) implements RoutingEvent {}

  /**
   * A peer told its requests in flight.
   *
   * @param report what it told
   */
  record PeerReported(Broadcasts.PeerInFlight report) implements RoutingEvent {}
}
