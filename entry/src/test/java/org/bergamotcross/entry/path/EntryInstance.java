package org.bergamotcross.entry.path;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.config.ApiKey;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Route;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.Broadcasts.Freshness;
import org.bergamotcross.entry.OpenRequests;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.Kernel;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginStartException;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.SettingsResult;
import org.bergamotcross.kernel.TimeSource;
import org.bergamotcross.standin.FreePorts;

/** An entry instance in the test's process with real sockets, but without the log and peers. */
final class EntryInstance implements AutoCloseable {
  static final String KEY = "key-of-customer-1";
  static final String OTHER_KEY = "key-of-customer-2";

  /** The key of an organisation with a rate of one request every 2 s. */
  static final String LOW_RATE_KEY = "key-of-customer-3";

  private static final OrganisationId CUSTOMER = new OrganisationId("team/customer");
  private static final OrganisationId OTHER = new OrganisationId("team/other");
  private static final OrganisationId LOW_RATE = new OrganisationId("team/slow");
  private static final PoolId POOL = new PoolId("team/pool");

  // The incarnation is 0, because the exchange plug-in, which sets it, is left out.
  private static final Members MEMBERS =
      new Members(1, List.of(new Member(new InstanceId("entry-1"), 0, new FailureDomain("a"), "")));

  private final Kernel kernel;
  private final int port;
  private final int operationsPort;

  private EntryInstance(Kernel kernel, int port, int operationsPort) {
    this.kernel = kernel;
    this.port = port;
    this.operationsPort = operationsPort;
  }

  static EntryInstance start(List<Integer> targets) throws Exception {
    return start(targets, 4096, 4);
  }

  static EntryInstance start(List<Integer> targets, int ringCapacity, int slots) throws Exception {
    return start(targets, ringCapacity, slots, Optional.empty());
  }

  /** Starts an instance in which a test's plug-in replaces admission. */
  static EntryInstance start(
      List<Integer> targets, int ringCapacity, int slots, Optional<Plugin> admission)
      throws Exception {
    return start(targets, ringCapacity, slots, admission, "");
  }

  /** Starts an instance with additional sections of settings. */
  static EntryInstance startWith(String sections, List<Integer> targets) throws Exception {
    return start(targets, 4096, 4, Optional.empty(), sections);
  }

  private static EntryInstance start(
      List<Integer> targets,
      int ringCapacity,
      int slots,
      Optional<Plugin> admission,
      String sections)
      throws Exception {
    int port = FreePorts.next();
    int operationsPort = FreePorts.next();
    String text =
        """
        [instance]
        id = entry-1
        failure-domain = a
        [listen]
        callers = 127.0.0.1:%d
        peers = 127.0.0.1:%d
        operations = 127.0.0.1:%d
        [platform]
        address = 127.0.0.1:9
        [limits]
        ring-capacity = %d
        queue-capacity = 4096
        max-body-bytes = 100000
        max-timeout-ms = 10000
        """
            .formatted(port, FreePorts.next(), operationsPort, ringCapacity)
            .concat(sections);
    List<Plugin> plugins = new ArrayList<>();
    for (Plugin plugin : Kernel.discoverPlugins()) {
      if (isOnRequestPath(plugin)) {
        plugins.add(admission.filter(other -> other.name().equals(plugin.name())).orElse(plugin));
      }
    }
    Kernel kernel = new Kernel(plugins, settings(text, plugins), TimeSource.system());
    try {
      kernel.start();
    } catch (PluginStartException e) {
      throw new IOException(e);
    }
    EntryInstance instance = new EntryInstance(kernel, port, operationsPort);
    // Confirm before the first configuration, as with an empty log: its organisations are new.
    instance.confirmConfiguration(Duration.ofMinutes(10));
    instance.configure(targets, slots, Set.of());
    return instance;
  }

  int port() {
    return port;
  }

  int operationsPort() {
    return operationsPort;
  }

  /** Publishes a configuration with three keys, an open route and one for the first customer. */
  void configure(List<Integer> targets, int slots, Set<String> withdrawnKeys) {
    List<Target> list = new ArrayList<>();
    for (int target : targets) {
      list.add(
          new Target(
              new TargetId("target-" + target), "127.0.0.1", target, new FailureDomain("a")));
    }
    TeamSettings team =
        new TeamSettings(
            "team",
            List.of(
                new Organisation(CUSTOMER, 100_000, 100_000),
                new Organisation(OTHER, 100_000, 100_000),
                new Organisation(LOW_RATE, 0.5, 1)),
            List.of(
                new ApiKey("k1", CUSTOMER, KeyHash.of(KEY)),
                new ApiKey("k2", OTHER, KeyHash.of(OTHER_KEY)),
                new ApiKey("k3", LOW_RATE, KeyHash.of(LOW_RATE_KEY))),
            List.of(new Pool(POOL, 0.5, slots, list)),
            List.of(route("open", Set.of()), route("private", Set.of(CUSTOMER))));
    Set<KeyHash> withdrawn = new LinkedHashSet<>();
    withdrawnKeys.forEach(key -> withdrawn.add(KeyHash.of(key)));
    kernel
        .context()
        .publish(
            Broadcasts.CONFIGURATION,
            Configuration.of(1, Map.of("team", team), withdrawn, MEMBERS));
  }

  /** Confirms the configuration as fresh for a time, so that the instance admits requests. */
  void confirmConfiguration(Duration time) {
    kernel
        .context()
        .publish(Broadcasts.FRESHNESS, new Freshness(now().plus(time), Freshness.Source.LOG));
  }

  /** Starts a graceful shutdown that still serves new requests for a time. */
  void stopWithAcceptPeriod(Duration accept, Duration limit) {
    kernel
        .context()
        .publish(
            Broadcasts.SHUTDOWN,
            new Broadcasts.Shutdown(now().plus(limit), Optional.of(now().plus(accept))));
  }

  /** Starts a graceful shutdown with a time limit. */
  void stop(Duration limit) {
    kernel.context().publish(Broadcasts.SHUTDOWN, new Broadcasts.Shutdown(now().plus(limit)));
  }

  OpenRequests openRequests() {
    return kernel.context().service(OpenRequests.class).orElseThrow();
  }

  Kernel kernel() {
    return kernel;
  }

  ClockReading now() {
    return kernel.context().time().now();
  }

  @Override
  public void close() {
    kernel.close();
  }

  private static boolean isOnRequestPath(Plugin plugin) {
    return Set.of(
            "actor-system", "admission", "routing", "target-client", "operations", "front-end")
        .contains(plugin.name());
  }

  private static Settings settings(String text, List<Plugin> plugins) {
    // Also declare the settings of omitted plug-ins, because the file contains some of them.
    List<Plugin> all = Kernel.discoverPlugins();
    return switch (Settings.parse("test.ini", text, Kernel.settingsOf(all), List.of())) {
      case SettingsResult.Loaded loaded -> loaded.settings();
      case SettingsResult.Rejected rejected ->
          throw new IllegalStateException(plugins + " " + rejected.problems());
    };
  }

  private static Route route(String name, Set<OrganisationId> organisations) {
    return new Route(
        "team/" + name,
        "/team/" + name,
        POOL,
        Set.of("GET", "HEAD", "POST", "PUT"),
        Set.of("GET", "HEAD", "PUT"),
        organisations,
        Duration.ofSeconds(8));
  }
}
