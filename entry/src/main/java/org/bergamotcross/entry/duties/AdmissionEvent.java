package org.bergamotcross.entry.duties;

import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.entry.AdmissionMessage;
import org.bergamotcross.entry.Broadcasts.Freshness;
import org.bergamotcross.entry.Broadcasts.HeartbeatEcho;
import org.bergamotcross.kernel.Now;

/** What the admission duty learns from other duties and from peers. */
sealed interface AdmissionEvent extends AdmissionMessage.Internal {

  /**
   * A configuration is in force.
   *
   * @param configuration the configuration
   */
  record Configured(Configuration configuration) implements AdmissionEvent {}

  /**
   * The freshness changed.
   *
   * @param freshness the freshness
   */
  record Confirmed(Freshness freshness) implements AdmissionEvent {}

  /**
   * A peer answered a beat.
   *
   * @param echo what it answered
   */
  record PeerHeard(HeartbeatEcho echo) implements AdmissionEvent {}

  /**
   * The process of a peer is another one than before.
   *
   * @param peer the peer
   */
  record PeerStarted(InstanceId peer) implements AdmissionEvent {}

  /**
   * Limits of the fleet are divided in another way than before.
   *
   * @param view how they are divided
   */
  record FleetChanged(FleetView view) implements AdmissionEvent {}

  /**
   * Other peers are heard than before.
   *
   * @param view the peers
   */
  record PeersChanged(PeerView view) implements AdmissionEvent {}

  /**
   * A peer sent a message about rates or claims.
   *
   * @param from the peer
   * @param message the message
   */
  record FromPeer(InstanceId from, Record message) implements AdmissionEvent {}

  /**
   * The process was told to stop.
   *
   * @param limit when requests that still wait are refused
   */
  record Stop(Now limit) implements AdmissionEvent {}
}
