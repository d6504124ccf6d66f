package org.bergamotcross.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
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

/**
 * Measures the memory of the configuration and the time of its operations at growing sizes.
 *
 * <p>Prints bytes per organisation (with one key), route and target, the time to build the
 * configuration after a change, to look up a key and a route, and to choose holders.
 */
public final class ConfigurationSlopes {
  private static final int TEAM_SIZE = 100;
  private static final int LOOKUPS = 200_000;

  // Keeps results reachable, so that neither the collector nor the compiler removes the work.
  @SuppressWarnings("UnusedVariable")
  private static volatile Object kept;

  private ConfigurationSlopes() {}

  /**
   * Runs the measurement; takes no arguments.
   *
   * @param args ignored
   */
  public static void main(String[] args) {
    System.out.println("| what | size | per item |");
    System.out.println("| --- | --- | --- |");
    for (int size : new int[] {2_000, 20_000, 200_000}) {
      report(
          "memory per organisation with a key, bytes",
          size,
          MemoryProbe.bytes(() -> organisations(size)));
      report("memory per route, bytes", size / 10, MemoryProbe.bytes(() -> routes(size / 10)));
      report("memory per target, bytes", size, MemoryProbe.bytes(() -> targets(size)));
    }
    for (int size : new int[] {2_000, 20_000, 200_000}) {
      timings(size);
    }
    for (int size : new int[] {18, 180, 1_800, 7_300}) {
      holders(size);
    }
  }

  private static void report(String what, int size, double total) {
    System.out.printf(Locale.ROOT, "| %s | %d | %.1f |%n", what, size, total / size);
  }

  private static void timings(int size) {
    Configuration configuration = organisations(size);
    Map<String, TeamSettings> teams = configuration.teams();
    report(
        "rebuild after one change, microseconds per organisation",
        size,
        micros(5, () -> Configuration.of(1, teams, Set.of(), Members.NONE)));
    KeyHash hash = KeyHash.of("key-" + size / 2);
    report("look-up of a key, microseconds", 1, micros(LOOKUPS, () -> configuration.key(hash)));
    report(
        "hash of a presented key, microseconds",
        1,
        micros(LOOKUPS, () -> KeyHash.of("key-" + size / 2)));
    Configuration routes = routes(size / 10);
    report(
        "look-up of a route, microseconds",
        1,
        micros(LOOKUPS, () -> routes.route(Optional.empty(), "/team-0/path-7/item/4711")));
  }

  private static void holders(int size) {
    List<Member> list = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      list.add(
          new Member(
              new InstanceId("entry-" + i), 1, new FailureDomain("d" + i % 12), "127.0.0.1:1"));
    }
    Members members = new Members(1, list);
    report(
        "choice of holders, microseconds per member",
        size,
        micros(Math.max(5, 200_000 / size), () -> members.holders("team/organisation")));
  }

  private static double micros(int repeats, Supplier<?> work) {
    int sink = 0;
    for (int i = 0; i < repeats / 2 + 1; i++) {
      sink += System.identityHashCode(work.get());
    }
    long start = System.nanoTime();
    for (int i = 0; i < repeats; i++) {
      sink += System.identityHashCode(work.get());
    }
    long nanos = System.nanoTime() - start;
    kept = sink;
    return nanos / 1_000.0 / repeats;
  }

  private static Configuration organisations(int size) {
    Map<String, TeamSettings> teams = new HashMap<>();
    for (int t = 0; t * TEAM_SIZE < size; t++) {
      String team = "team-" + t;
      List<Organisation> organisations = new ArrayList<>();
      List<ApiKey> keys = new ArrayList<>();
      for (int i = t * TEAM_SIZE; i < Math.min(size, (t + 1) * TEAM_SIZE); i++) {
        OrganisationId id = new OrganisationId(team + "/organisation-" + i);
        organisations.add(new Organisation(id, 10, 20));
        keys.add(new ApiKey("key-" + i, id, KeyHash.of("key-" + i)));
      }
      teams.put(team, new TeamSettings(team, organisations, keys, List.of(), List.of()));
    }
    return Configuration.of(0, teams, Set.of(), Members.NONE);
  }

  private static Configuration routes(int size) {
    List<Route> routes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      routes.add(
          new Route(
              "team-0/route-" + i,
              "/team-0/path-" + i,
              new PoolId("team-0/pool-" + i / 10),
              Set.of("GET", "POST"),
              Set.of("GET"),
              Set.of(),
              Duration.ofSeconds(5)));
    }
    return single(List.of(), routes);
  }

  private static Configuration targets(int size) {
    List<Pool> pools = new ArrayList<>();
    for (int p = 0; p * 30 < size; p++) {
      List<Target> targets = new ArrayList<>();
      for (int i = p * 30; i < Math.min(size, (p + 1) * 30); i++) {
        targets.add(
            new Target(
                new TargetId("target-" + i), "127.0.0.1", 9000, new FailureDomain("d" + i % 12)));
      }
      pools.add(new Pool(new PoolId("team-0/pool-" + p), 0.5, 4, targets));
    }
    return single(pools, List.of());
  }

  private static Configuration single(List<Pool> pools, List<Route> routes) {
    return Configuration.of(
        0,
        Map.of("team-0", new TeamSettings("team-0", List.of(), List.of(), pools, routes)),
        Set.of(),
        Members.NONE);
  }
}
