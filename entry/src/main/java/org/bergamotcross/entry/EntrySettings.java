package org.bergamotcross.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bergamotcross.core.admission.RateTolerance;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.kernel.Setting;
import org.bergamotcross.kernel.SettingProblem;
import org.bergamotcross.kernel.SettingRule;
import org.bergamotcross.kernel.Settings;

/** The settings that several plug-ins of an entry instance read. */
public final class EntrySettings {
  /** The name of the instance, unique in the fleet. */
  public static final Setting<String> INSTANCE_ID = Setting.name("instance", "id");

  /** The failure domain in which the instance runs. */
  public static final Setting<String> FAILURE_DOMAIN = Setting.name("instance", "failure-domain");

  /** Where callers connect. */
  public static final Setting<InetSocketAddress> CALLER_ADDRESS =
      Setting.address("listen", "callers");

  /** Where other instances connect. */
  public static final Setting<InetSocketAddress> PEER_ADDRESS = Setting.address("listen", "peers");

  /** Where operators read health, metrics and status. */
  public static final Setting<InetSocketAddress> OPERATIONS_ADDRESS =
      Setting.address("listen", "operations");

  /** The path at which load balancers ask whether the instance is ready. */
  public static final Setting<String> READY_PATH =
      new Setting<>(
          "operations",
          "ready-path",
          "a path such as /health",
          Optional.of("/health"),
          text -> Optional.of(text).filter(t -> t.matches("/[A-Za-z0-9/_.-]*")));

  /** Where the log and the instance list are served. */
  public static final Setting<InetSocketAddress> PLATFORM_ADDRESS =
      Setting.address("platform", "address");

  /** The number of messages that a ring holds; half of it is open to new work. */
  public static final Setting<Integer> RING_CAPACITY =
      Setting.integer("limits", "ring-capacity", 16, 1_000_000).orDefault("8192");

  /** The number of requests that may wait for a target. */
  public static final Setting<Integer> QUEUE_CAPACITY =
      Setting.integer("limits", "queue-capacity", 1, 1_000_000).orDefault("1024");

  /** The largest body of a request, in bytes. */
  public static final Setting<Integer> MAX_BODY_BYTES =
      Setting.integer("limits", "max-body-bytes", 1, 1 << 30).orDefault("1048576");

  /** The longest time that a request may take, in ms; claims are safe up to 60 s. */
  public static final Setting<Integer> MAX_TIMEOUT_MS =
      Setting.integer("limits", "max-timeout-ms", 1, 60_000).orDefault("30000");

  /** Retries per request that a pool may get over all instances. */
  public static final Setting<Double> RETRY_SHARE =
      Setting.decimal("retries", "share", 0, 1).orDefault("0.1");

  /**
   * Retries of a pool beyond the share, of all instances together within ten seconds; 0 gives each
   * instance a reserve of its own, whatever their number.
   */
  public static final Setting<Integer> RETRY_FLEET_RESERVE =
      Setting.integer("retries", "fleet-reserve", 0, 1_000_000).orDefault("0");

  /** How the instances share the rates of organisations. */
  public static final Setting<String> RATE_SHARING =
      Setting.oneOf("rates", "sharing", List.of("holders", "delegated")).orDefault("holders");

  /** The window in which delegated rates may be exceeded by what is tolerated. */
  public static final Setting<Duration> RATE_WINDOW =
      Setting.duration("rates", "window").orDefault("5s");

  /** What is tolerated in a window beyond a delegated rate, as a share of rate and burst. */
  public static final Setting<Double> RATE_TOLERATED_SHARE =
      Setting.decimal("rates", "tolerated-share", 0, 1).orDefault("0");

  /** What is tolerated in a window beyond a delegated rate and that share, in requests. */
  public static final Setting<Integer> RATE_TOLERATED_REQUESTS =
      Setting.integer("rates", "tolerated-requests", 0, 1_000_000).orDefault("0");

  /** The time in ms for which a stopping instance still serves new requests. */
  public static final Setting<Integer> STOP_ACCEPT_MS =
      Setting.integer("stop", "accept-ms", 0, 60_000).orDefault("0");

  /** The time in ms after which a stopping instance cuts what is still open. */
  public static final Setting<Integer> STOP_LIMIT_MS =
      Setting.integer("stop", "limit-ms", 100, 600_000).orDefault("30000");

  /** The time between two beats to each peer, in ms. */
  public static final Setting<Integer> HEARTBEAT_INTERVAL_MS =
      Setting.integer("peers", "beat-ms", 100, 60_000).orDefault("500");

  // A delegation ends 3.5 s after the beat that it answers, so that three beats must fit in.
  private static final int MAX_DELEGATION_HEARTBEAT_INTERVAL_MS = 1_000;

  private EntrySettings() {}

  /**
   * Returns how far delegated rates may be exceeded.
   *
   * @param settings the settings
   * @return the tolerance
   */
  public static RateTolerance rateTolerance(Settings settings) {
    return new RateTolerance(
        settings.value(RATE_WINDOW),
        settings.value(RATE_TOLERATED_SHARE),
        settings.value(RATE_TOLERATED_REQUESTS));
  }

  /**
   * Checks that beats come often enough to keep delegations in force.
   *
   * @param settings the settings
   * @return the problem, or nothing when there is none
   */
  public static Optional<SettingProblem> checkHeartbeatInterval(Settings settings) {
    boolean delegated = settings.value(RATE_SHARING).equals("delegated");
    if (!delegated
        || settings.value(HEARTBEAT_INTERVAL_MS) <= MAX_DELEGATION_HEARTBEAT_INTERVAL_MS) {
      return Optional.empty();
    }
    return Optional.of(
        new SettingProblem(
            settings.file(),
            HEARTBEAT_INTERVAL_MS.section(),
            HEARTBEAT_INTERVAL_MS.key(),
            settings.value(HEARTBEAT_INTERVAL_MS).toString(),
            "at most "
                + MAX_DELEGATION_HEARTBEAT_INTERVAL_MS
                + " with [rates] sharing = delegated"));
  }

  /**
   * Returns this instance as its peers know it.
   *
   * @param settings the settings
   * @param incarnation the incarnation of the process
   * @return the instance with its failure domain and the address for peers
   */
  public static Member ownMember(Settings settings, long incarnation) {
    InetSocketAddress peers = settings.value(PEER_ADDRESS);
    return new Member(
        new InstanceId(settings.value(INSTANCE_ID)),
        incarnation,
        new FailureDomain(settings.value(FAILURE_DOMAIN)),
        peers.getHostString() + ":" + peers.getPort());
  }

  /**
   * Returns the check that no two of a set of addresses are the same.
   *
   * <p>A plug-in names the addresses that it has declared, because only those have a value.
   *
   * @param addresses the addresses, of which the later one of an equal pair is reported
   * @return the rules, one for each pair
   */
  public static List<SettingRule> requireDistinctAddresses(
      List<Setting<InetSocketAddress>> addresses) {
    List<SettingRule> rules = new ArrayList<>();
    for (int later = 1; later < addresses.size(); later++) {
      for (int earlier = 0; earlier < later; earlier++) {
        Setting<InetSocketAddress> first = addresses.get(earlier);
        Setting<InetSocketAddress> second = addresses.get(later);
        rules.add(settings -> checkDistinct(settings, first, second));
      }
    }
    return rules;
  }

  private static Optional<SettingProblem> checkDistinct(
      Settings settings, Setting<InetSocketAddress> first, Setting<InetSocketAddress> second) {
    InetSocketAddress address = settings.value(second);
    if (address.getPort() == 0 || !address.equals(settings.value(first))) {
      return Optional.empty();
    }
    String text = address.getHostString() + ":" + address.getPort();
    return Optional.of(
        new SettingProblem(
            settings.file(),
            second.section(),
            second.key(),
            text + ", the same as [" + first.section() + "] " + first.key(),
            "an address that nothing else uses"));
  }
}
