package org.bergamotcross.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.bergamotcross.core.admission.RateTolerance;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.kernel.Setting;
import org.bergamotcross.kernel.SettingProblem;
import org.bergamotcross.kernel.SettingRule;
import org.bergamotcross.kernel.Settings;

/** Declares the settings that several plug-ins of an entry instance read. */
public final class EntrySettings {
  /** The id of the instance, unique in the fleet. */
  public static final Setting<String> INSTANCE_ID = Setting.name("instance", "id");

  /** The failure domain that the instance runs in. */
  public static final Setting<String> FAILURE_DOMAIN = Setting.name("instance", "failure-domain");

  /** The address on which callers connect. */
  public static final Setting<InetSocketAddress> CALLER_ADDRESS =
      Setting.address("listen", "callers");

  /** The address on which peers connect. */
  public static final Setting<InetSocketAddress> PEER_ADDRESS = Setting.address("listen", "peers");

  /** The address that serves health, metrics and status to operators. */
  public static final Setting<InetSocketAddress> OPERATIONS_ADDRESS =
      Setting.address("listen", "operations");

  /** The path of the readiness check for load balancers. */
  public static final Setting<String> READY_PATH =
      new Setting<>(
          "operations",
          "ready-path",
          "a path such as /health",
          Optional.of("/health"),
          text -> Optional.of(text).filter(t -> t.matches("/[A-Za-z0-9/_.-]*")));

  /** The address of the platform, which serves the log and the instance list. */
  public static final Setting<InetSocketAddress> PLATFORM_ADDRESS =
      Setting.address("platform", "address");

  /** The capacity of a ring in messages; new work may use half of it. */
  public static final Setting<Integer> RING_CAPACITY =
      Setting.integer("limits", "ring-capacity", 16, 1_000_000).orDefault("8192");

  /**
   * The maximum number of requests that wait for the targets of a pool, and that wait for tokens.
   */
  public static final Setting<Integer> QUEUE_CAPACITY =
      Setting.integer("limits", "queue-capacity", 1, 1_000_000).orDefault("1024");

  /** How a pool that has too little room divides it. */
  public static final Setting<String> SCHEDULING_POLICY =
      Setting.oneOf("scheduling", "policy", List.of("deadline", "fair")).orDefault("deadline");

  /** Words that describe the environment, for example rendered by the platform. */
  public static final Setting<List<String>> SCHEDULING_CONDITIONS =
      new Setting<>(
          "scheduling",
          "conditions",
          "words that are separated by commas",
          Optional.of(""),
          EntrySettings::parseWords);

  /** The word among the conditions that selects the fair policy; empty for none. */
  public static final Setting<List<String>> SCHEDULING_FAIR_UNDER =
      new Setting<>(
          "scheduling",
          "fair-under",
          "words that are separated by commas",
          Optional.of(""),
          EntrySettings::parseWords);

  /** The maximum size of a request body in bytes. */
  public static final Setting<Integer> MAX_BODY_BYTES =
      Setting.integer("limits", "max-body-bytes", 1, 1 << 30).orDefault("1048576");

  /** The maximum duration of a request in ms; idempotency claims are safe up to 60 s. */
  public static final Setting<Integer> MAX_TIMEOUT_MS =
      Setting.integer("limits", "max-timeout-ms", 1, 60_000).orDefault("30000");

  /** The maximum ratio of retries to requests of a pool, over all instances. */
  public static final Setting<Double> RETRY_SHARE =
      Setting.decimal("retries", "share", 0, 1).orDefault("0.1");

  /**
   * The number of retries of a pool within ten seconds that all instances together may make beyond
   * the share; 0 gives each instance its own reserve, regardless of the number of instances.
   */
  public static final Setting<Double> RETRY_FLEET_RESERVE =
      Setting.decimal("retries", "fleet-reserve", 0, 1_000_000).orDefault("0");

  /** How instances share the rate limits of organisations. */
  public static final Setting<String> RATE_SHARING =
      Setting.oneOf("rates", "sharing", List.of("holders", "delegated")).orDefault("holders");

  /** The time window to which the tolerances of delegated rates apply. */
  public static final Setting<Duration> RATE_WINDOW =
      Setting.duration("rates", "window").orDefault("5s");

  /** The tolerated excess over a delegated rate in a window, as a share of rate and burst. */
  public static final Setting<Double> RATE_TOLERATED_SHARE =
      Setting.decimal("rates", "tolerated-share", 0, 1).orDefault("0");

  /** The additional tolerated excess over a delegated rate in a window, in requests. */
  public static final Setting<Double> RATE_TOLERATED_REQUESTS =
      Setting.decimal("rates", "tolerated-requests", 0, 1_000_000).orDefault("0");

  /** The time in ms for which an instance still accepts new requests after the shutdown signal. */
  public static final Setting<Integer> STOP_ACCEPT_MS =
      Setting.integer("stop", "accept-ms", 0, 60_000).orDefault("0");

  /** The time in ms after which a graceful shutdown cuts requests that are still open. */
  public static final Setting<Integer> STOP_LIMIT_MS =
      Setting.integer("stop", "limit-ms", 100, 600_000).orDefault("30000");

  /**
   * The time from the shutdown signal until the platform kills the process; the instance ends
   * before that.
   */
  public static final Setting<Duration> STOP_GRACE =
      Setting.duration("stop", "grace").orDefault("600s");

  /** The interval between heartbeats to each peer in ms. */
  public static final Setting<Integer> HEARTBEAT_INTERVAL_MS =
      Setting.integer("peers", "beat-ms", 100, 60_000).orDefault("500");

  /** The value of {@link #FULL_MESH_LIMIT} with which an instance never uses relays. */
  public static final int NO_FULL_MESH_LIMIT = 1_000_000;

  /**
   * The maximum number of instances that all keep links to each other; in a larger fleet, some of
   * them relay messages for the others. By default there are never relays.
   */
  public static final Setting<Integer> FULL_MESH_LIMIT =
      Setting.integer("peers", "full-mesh-limit", 2, NO_FULL_MESH_LIMIT)
          .orDefault(Integer.toString(NO_FULL_MESH_LIMIT));

  /** The share of a core that the instance may use. */
  public static final Setting<OptionalDouble> PROCESSOR_SHARE =
      machineLimit("processor-share", "INSTANCE_PROCESSOR_SHARE");

  /** How many times as fast as usual the core of the instance is. */
  public static final Setting<OptionalDouble> PROCESSOR_SPEED =
      machineLimit("processor-speed", "INSTANCE_PROCESSOR_SPEED");

  /** The bandwidth of the instance's network link in Mbit/s. */
  public static final Setting<OptionalDouble> LINK_MBPS =
      machineLimit("link-mbps", "INSTANCE_LINK_MBPS");

  private static final double MAX_CAPACITY = 1_000_000;
  private static final double CAPACITY_PER_CORE = 1_000;

  // A frame between instances takes about 80 us of a core and 150 bytes of a link, so that 1 Mbit/s
  // carries what 0.06 of a core can process.
  private static final double CAPACITY_PER_MBPS = 60;

  // A delegation expires 3.5 s after the heartbeat that it answers; three heartbeats must fit in.
  private static final int MAX_DELEGATION_HEARTBEAT_INTERVAL_MS = 1_000;

  private EntrySettings() {}

  private static Optional<List<String>> parseWords(String text) {
    return Optional.of(
        Arrays.stream(text.split(",", -1))
            .map(String::strip)
            .filter(word -> !word.isEmpty())
            .toList());
  }

  /**
   * Returns whether the pools of an instance use the fair scheduling policy.
   *
   * @param settings the settings of the instance
   * @return whether it is selected, or one of the conditions selects it
   */
  public static boolean isFairScheduling(Settings settings) {
    return settings.value(SCHEDULING_POLICY).equals("fair")
        || !Collections.disjoint(
            settings.value(SCHEDULING_CONDITIONS), settings.value(SCHEDULING_FAIR_UNDER));
  }

  /** Declares a limit of the machine whose default is an environment variable. */
  private static Setting<OptionalDouble> machineLimit(String key, String variable) {
    Setting<Double> decimal = Setting.decimal("instance", key, 0, MAX_CAPACITY);
    return new Setting<>(
        "instance",
        key,
        decimal.expected() + ", or nothing if unknown",
        Optional.of(Optional.ofNullable(System.getenv(variable)).orElse("")),
        text ->
            text.isEmpty()
                ? Optional.of(OptionalDouble.empty())
                : decimal.parser().parse(text).map(OptionalDouble::of));
  }

  /**
   * Returns the capacity of the instance for relaying messages, in thousandths of a core.
   *
   * @param settings the settings of the instance
   * @return what the processor and the link allow; 0 if neither is known
   */
  public static int capacity(Settings settings) {
    OptionalDouble share = settings.value(PROCESSOR_SHARE);
    OptionalDouble mbps = settings.value(LINK_MBPS);
    boolean isKnown = share.isPresent() || mbps.isPresent();
    double processor =
        share.orElse(MAX_CAPACITY) * settings.value(PROCESSOR_SPEED).orElse(1) * CAPACITY_PER_CORE;
    double link = mbps.orElse(MAX_CAPACITY) * CAPACITY_PER_MBPS;
    double capacity = Math.min(processor, link);
    return isKnown ? (int) Math.min(capacity, MAX_CAPACITY) : 0;
  }

  /**
   * Reads the tolerance for exceeding delegated rates.
   *
   * @param settings the settings of the instance
   * @return the tolerance
   */
  public static RateTolerance rateTolerance(Settings settings) {
    return new RateTolerance(
        settings.value(RATE_WINDOW),
        settings.value(RATE_TOLERATED_SHARE),
        settings.value(RATE_TOLERATED_REQUESTS));
  }

  /**
   * Checks that the heartbeat interval is short enough to keep delegations from expiring.
   *
   * @param settings the settings
   * @return the problem; empty when there is none
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
   * Creates the member record under which peers know this instance.
   *
   * @param settings the settings
   * @param incarnation the incarnation of the process
   * @return the member with its failure domain and peer address
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
   * Creates rules that require addresses to differ from each other.
   *
   * <p>A plug-in passes only addresses that it declares itself, because other settings may have no
   * value.
   *
   * @param addresses the address settings; of an equal pair, the later one is reported
   * @return one rule for each pair
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
