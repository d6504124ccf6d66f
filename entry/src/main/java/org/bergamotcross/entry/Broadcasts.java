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
import org.bergamotcross.kernel.Now;
import org.bergamotcross.kernel.Settings;

/** The broadcasts that the plug-ins of an entry instance share. */
public final class Broadcasts {
  /** The configuration in force; published by the config duty after each accepted record. */
  public static final Broadcast<Configuration> CONFIGURATION = new Broadcast<>("configuration");

  /** How long the instance may act on what it knows; published by the config duty. */
  public static final Broadcast<Freshness> FRESHNESS = new Broadcast<>("freshness");

  /** A peer answered; published by the exchange duty. */
  public static final Broadcast<HeartbeatEcho> HEARTBEAT_ECHO = new Broadcast<>("peer-echo");

  /** The process was told to stop; published again with an earlier limit by a second signal. */
  public static final Broadcast<Shutdown> SHUTDOWN = new Broadcast<>("stopping");

  /** The status of all targets; published by the health duty when a status changes. */
  public static final Broadcast<HealthView> HEALTH = new Broadcast<>("health");

  /**
   * The targets that the instance list shows as leaving; published by the config duty when the set
   * changes.
   */
  public static final Broadcast<LeavingTargets> LEAVING_TARGETS =
      new Broadcast<>("leaving-targets");

  /** What a peer told about its requests in flight; published by the health plug-in. */
  public static final Broadcast<PeerInFlight> PEER_IN_FLIGHT = new Broadcast<>("peer-in-flight");

  /** Which peers are heard; published by the exchange duty when it changes. */
  public static final Broadcast<PeerView> PEERS = new Broadcast<>("peers");

  /** How limits of the fleet are divided; published by the exchange duty when it changes. */
  public static final Broadcast<FleetView> FLEET = new Broadcast<>("fleet");

  /** A peer whose process is another one than before; published by the exchange duty. */
  public static final Broadcast<InstanceId> PEER_RESTARTED = new Broadcast<>("peer-started");

  /** The directory of instances was read; the exchange introduces itself to those it names. */
  public static final Broadcast<InstanceDirectory> DIRECTORY = new Broadcast<>("directory");

  /** An instance was removed from the directory after a long silence. */
  public static final Broadcast<InstanceId> INSTANCE_REMOVED = new Broadcast<>("departed");

  /** The settings file has changed and is right; published by the daemon. */
  public static final Broadcast<Settings> SETTINGS = new Broadcast<>("settings");

  private Broadcasts() {}

  /**
   * The directory of instances, which is kept outside the fleet.
   *
   * @param others the other instances that it names, of which some may have ended
   * @param hasSelf whether it names this instance
   */
  public record InstanceDirectory(List<Member> otherInstances, boolean containsSelf) {

    /** Copies the list. */
    public InstanceDirectory {
      otherInstances = List.copyOf(otherInstances);
    }
  }

  /**
   * The targets that must get no new work because they leave.
   *
   * @param targets the targets
   */
  public record LeavingTargets(Set<TargetId> targets) {

    /** Copies the set. */
    public LeavingTargets {
      targets = Set.copyOf(targets);
    }
  }

  /**
   * The requests of a peer that are in flight; replaces what it told before.
   *
   * @param peer the peer
   * @param averages the average number of requests in flight by target, without those at 0
   */
  public record PeerInFlight(InstanceId peer, Map<TargetId, Double> averages) {

    /** Copies the map. */
    public PeerInFlight {
      averages = Map.copyOf(averages);
    }
  }

  /**
   * How long keys, shares and claims may be used.
   *
   * @param validUntil the monotonic end; a reading that is not before it must not use them
   * @param source what confirmed it
   */
  public record Freshness(Now validUntil, Source source) {

    /** What confirmed the freshness. */
    public enum Source {
      /** Nothing did yet. */
      NONE,
      /** The head of the log. */
      LOG,
      /** A majority of the members. */
      PEERS
    }
  }

  /**
   * An answer of a peer to a beat of this instance.
   *
   * @param peer the peer
   * @param beatSentAt when this instance sent the beat that the peer echoes
   * @param offset the offset that the peer has folded
   * @param delegation to whom the peer delegates its share of each rate
   */
  public record HeartbeatEcho(
      Member peer, Now heartbeatSentAt, long offset, Delegation delegation) {}

  /**
   * The start of a planned stop.
   *
   * @param limit when the process ends even if requests are still open
   * @param acceptUntil until when new requests are still served, because load balancers notice the
   *     stop late; nothing when they are refused from now on
   */
  public record Shutdown(Now limit, Optional<Now> acceptUntil) {

    /**
     * Creates the start of a stop in which new requests are refused at once.
     *
     * @param limit when the process ends even if requests are still open
     */
    public Shutdown(Now limit) {
      this(limit, Optional.empty());
    }
  }
}
