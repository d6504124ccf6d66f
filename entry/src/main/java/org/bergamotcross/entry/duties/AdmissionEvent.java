package org.bergamotcross.entry.duties;

import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.entry.AdmissionMessage;
import org.bergamotcross.entry.Broadcasts.Freshness;
import org.bergamotcross.entry.Broadcasts.HeartbeatEchoes;
import org.bergamotcross.kernel.ClockReading;

/** An event that the admission plug-in passes from other duties and from peers to its duty. */
sealed interface AdmissionEvent extends AdmissionMessage.Internal {

  /**
   * A new configuration is in force.
   *
   * @param configuration the configuration in force
   */
  record ConfigurationChanged(Configuration configuration) implements AdmissionEvent {}

  /**
   * The configuration was confirmed as current, or its confirmation changed.
   *
   * @param freshness until when the configuration may be used
   */
  record FreshnessChanged(Freshness freshness) implements AdmissionEvent {}

  /**
   * Peers echoed heartbeats.
   *
   * @param echoed the echoes
   */
  record HeartbeatsEchoed(HeartbeatEchoes echoed) implements AdmissionEvent {}

  /**
   * A peer introduced itself for the first time or with a new incarnation.
   *
   * @param peer the peer
   */
  record PeerRestarted(InstanceId peer) implements AdmissionEvent {}

  /**
   * The division of fleet-wide limits between instances changed.
   *
   * @param view the new division
   */
  record FleetChanged(FleetView view) implements AdmissionEvent {}

  /**
   * The set of reachable peers changed.
   *
   * @param view the reachable peers
   */
  record PeersChanged(PeerView view) implements AdmissionEvent {}

  /**
   * A message about rates or claims arrived from a peer.
   *
   * @param from the sending peer
   * @param message the message about rates or claims
   */
  record PeerMessageReceived(InstanceId from, Record message) implements AdmissionEvent {}

  /**
   * A graceful shutdown started.
   *
   * @param limit the time at which requests that are still pending are refused
   */
  record ShutdownStarted(ClockReading limit) implements AdmissionEvent {}
}
