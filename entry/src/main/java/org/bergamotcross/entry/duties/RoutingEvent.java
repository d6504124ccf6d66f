package org.bergamotcross.entry.duties;

import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.entry.AttemptEvent;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.RoutingMessage;

/** An event that the routing plug-in passes from other duties and from peers to its duty. */
sealed interface RoutingEvent extends RoutingMessage.Internal {

  /**
   * An event of an attempt occurred; offered to the reserved part of the ring.
   *
   * @param request the request of the attempt
   * @param attempt the id of the attempt
   * @param event the event
   */
  record AttemptProgressed(RoutedRequest request, String attempt, AttemptEvent event)
      implements RoutingEvent {}

  /**
   * A peer reported the outcomes of its requests.
   *
   * @param outcomes the reported outcomes
   */
  record PeerOutcomesReceived(OutcomeMessage outcomes) implements RoutingEvent {}

  /**
   * The division of fleet-wide limits between instances changed.
   *
   * @param view the new division
   */
  record FleetChanged(FleetView view) implements RoutingEvent {}

  /**
   * A peer introduced itself for the first time or with a new incarnation.
   *
   * @param peer the peer
   */
  record PeerRestarted(InstanceId peer) implements RoutingEvent {}

  /**
   * A peer reported its in-flight requests.
   *
   * @param report the report
   */
  record PeerInFlightReceived(Broadcasts.PeerInFlight report) implements RoutingEvent {}
}
