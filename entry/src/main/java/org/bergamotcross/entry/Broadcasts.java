package org.bergamotcross.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.Delegation;
import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.core.routing.HealthView;
import org.bergamotcross.kernel.Broadcast;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.Settings;

/** Declares the broadcasts that plug-ins of an entry instance publish and subscribe to. */
public final class Broadcasts {
  /** The configuration in force; published by the config duty after each accepted record. */
  public static final Broadcast<Configuration> CONFIGURATION = new Broadcast<>("configuration");

  /** Until when the instance may act on its configuration; published by the config duty. */
  public static final Broadcast<Freshness> FRESHNESS = new Broadcast<>("freshness");

  /** Peers echoed heartbeats of this instance; published by the exchange duty. */
  public static final Broadcast<HeartbeatEchoes> HEARTBEAT_ECHOES = new Broadcast<>("peer-echoes");

  /** A graceful shutdown started; published again with an earlier limit after a second signal. */
  public static final Broadcast<Shutdown> SHUTDOWN = new Broadcast<>("stopping");

  /** The status of all targets; published by the health duty when a status changes. */
  public static final Broadcast<HealthView> HEALTH = new Broadcast<>("health");

  /**
   * The targets that the instance list marks as leaving; published by the config duty when the set
   * changes.
   */
  public static final Broadcast<LeavingTargets> LEAVING_TARGETS =
      new Broadcast<>("leaving-targets");

  /** The numbers of in-flight requests that a peer reported; published by the health plug-in. */
  public static final Broadcast<PeerInFlight> PEER_IN_FLIGHT = new Broadcast<>("peer-in-flight");

  /**
   * The peers that are currently reachable; published by the exchange duty when the set changes.
   */
  public static final Broadcast<PeerView> PEERS = new Broadcast<>("peers");

  /**
   * How fleet-wide limits are divided between instances; published by the exchange duty on each
   * change.
   */
  public static final Broadcast<FleetView> FLEET = new Broadcast<>("fleet");

  /**
   * A peer introduced itself for the first time or with a new incarnation; published by the
   * exchange duty.
   */
  public static final Broadcast<InstanceId> PEER_RESTARTED = new Broadcast<>("peer-started");

  /** The instance directory was read; the exchange introduces this instance to the listed ones. */
  public static final Broadcast<InstanceDirectory> DIRECTORY = new Broadcast<>("directory");

  /**
   * An instance was removed from the directory because no heartbeat had arrived for a long time.
   */
  public static final Broadcast<InstanceId> INSTANCE_REMOVED = new Broadcast<>("departed");

  /** The settings file was reloaded without problems; published by the daemon. */
  public static final Broadcast<Settings> SETTINGS = new Broadcast<>("settings");

  private Broadcasts() {}

  /**
   * The content of the instance directory, which is stored outside the fleet.
   *
   * @param otherInstances the other listed instances; some may no longer run
   * @param containsSelf whether this instance is listed
   */
  public record InstanceDirectory(List<Member> otherInstances, boolean containsSelf) {

    /** Makes an unmodifiable copy of the list. */
    public InstanceDirectory {
      otherInstances = List.copyOf(otherInstances);
    }
  }

  /**
   * The targets that must not receive new requests because they are leaving.
   *
   * @param targets the ids of the leaving targets
   */
  public record LeavingTargets(Set<TargetId> targets) {

    /** Makes an unmodifiable copy of the set. */
    public LeavingTargets {
      targets = Set.copyOf(targets);
    }
  }

  /**
   * The in-flight requests of a peer; replaces its previous report.
   *
   * @param peer the reporting peer
   * @param averages the average number of in-flight requests by target; targets at 0 are left out
   */
  public record PeerInFlight(InstanceId peer, Map<TargetId, Double> averages) {

    /** Makes an unmodifiable copy of the map. */
    public PeerInFlight {
      averages = Map.copyOf(averages);
    }
  }

  /**
   * Until when keys, rate shares and claims may be used, and on what evidence.
   *
   * @param validUntil the end on the monotonic clock; at this time and later they must not be used
   * @param source what confirmed the configuration
   */
  public record Freshness(ClockReading validUntil, Source source) {

    /** What confirmed that the configuration is current. */
    public enum Source {
      /** Not confirmed yet. */
      NONE,
      /** Confirmed by reading the head of the log. */
      LOG,
      /** Confirmed by a majority of the members. */
      PEERS
    }
  }

  /**
   * A peer's echo of a heartbeat that this instance sent.
   *
   * @param peer the echoing peer
   * @param heartbeatSentAt when this instance sent the echoed heartbeat
   * @param offset the last log offset that the peer has applied
   * @param delegation the instance to which the peer delegates its share of each rate
   */
  public record HeartbeatEcho(
      Member peer, ClockReading heartbeatSentAt, long offset, Delegation delegation) {}

  /**
   * Echoes that arrived one after the other.
   *
   * @param echoes the echoes in the order of their arrival
   */
  public record HeartbeatEchoes(List<HeartbeatEcho> echoes) {
    /** Makes a defensive copy of the list. */
    public HeartbeatEchoes {
      echoes = List.copyOf(echoes);
    }
  }

  /**
   * The start of a graceful shutdown.
   *
   * @param limit the time at which the process exits even if requests are still open
   * @param acceptUntil until when new requests are still accepted, because load balancers notice
   *     the shutdown late; empty when they are refused from now on
   */
  public record Shutdown(ClockReading limit, Optional<ClockReading> acceptUntil) {

    /**
     * Creates a shutdown that refuses new requests immediately.
     *
     * @param limit the time at which the process exits even if requests are still open
     */
    public Shutdown(ClockReading limit) {
      this(limit, Optional.empty());
    }
  }
}
