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
 * Measures the memory of the configuration and the duration of its operations at growing sizes.
 *
 * <p>Prints bytes per organisation (with one key), route and target, and the time to rebuild the
 * configuration after a change, to look up a key or a route, and to choose the holders of an
 * organisation.
 */
public final class ConfigurationSlopes {
  private static final int ORGANISATIONS_PER_TEAM = 100;
  private static final int LOOKUP_COUNT = 200_000;

  // Consumes results so that the measured work is neither garbage collected nor optimised away.
  @SuppressWarnings("UnusedVariable")
  private static volatile Object blackhole;

  private ConfigurationSlopes() {}

  /**
   * Runs the measurement and prints a Markdown table.
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
          MemoryProbe.retainedBytes(() -> configurationWithOrganisations(size)));
      report(
          "memory per route, bytes",
          size / 10,
          MemoryProbe.retainedBytes(() -> configurationWithRoutes(size / 10)));
      report(
          "memory per target, bytes",
          size,
          MemoryProbe.retainedBytes(() -> configurationWithTargets(size)));
    }
    for (int size : new int[] {2_000, 20_000, 200_000}) {
      measureTimings(size);
    }
    for (int size : new int[] {18, 180, 1_800, 7_300}) {
      measureHolderChoice(size);
    }
  }

  private static void report(String metric, int size, double total) {
    System.out.printf(Locale.ROOT, "| %s | %d | %.1f |%n", metric, size, total / size);
  }

  private static void measureTimings(int size) {
    Configuration configuration = configurationWithOrganisations(size);
    Map<String, TeamSettings> teams = configuration.teams();
    report(
        "rebuild after one change, microseconds per organisation",
        size,
        averageMicros(5, () -> Configuration.of(1, teams, Set.of(), Members.NONE)));
    KeyHash hash = KeyHash.of("key-" + size / 2);
    report(
        "look-up of a key, microseconds",
        1,
        averageMicros(LOOKUP_COUNT, () -> configuration.key(hash)));
    report(
        "hash of a presented key, microseconds",
        1,
        averageMicros(LOOKUP_COUNT, () -> KeyHash.of("key-" + size / 2)));
    Configuration routes = configurationWithRoutes(size / 10);
    report(
        "look-up of a route, microseconds",
        1,
        averageMicros(
            LOOKUP_COUNT, () -> routes.route(Optional.empty(), "/team-0/path-7/item/4711")));
  }

  private static void measureHolderChoice(int size) {
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
        averageMicros(Math.max(5, 200_000 / size), () -> members.holders("team/organisation")));
  }

  private static double averageMicros(int repetitions, Supplier<?> operation) {
    int checksum = 0;
    for (int i = 0; i < repetitions / 2 + 1; i++) {
      checksum += System.identityHashCode(operation.get());
    }
    long start = System.nanoTime();
    for (int i = 0; i < repetitions; i++) {
      checksum += System.identityHashCode(operation.get());
    }
    long nanos = System.nanoTime() - start;
    blackhole = checksum;
    return nanos / 1_000.0 / repetitions;
  }

  private static Configuration configurationWithOrganisations(int size) {
    Map<String, TeamSettings> teams = new HashMap<>();
    for (int t = 0; t * ORGANISATIONS_PER_TEAM < size; t++) {
      String team = "team-" + t;
      List<Organisation> organisations = new ArrayList<>();
      List<ApiKey> keys = new ArrayList<>();
      for (int i = t * ORGANISATIONS_PER_TEAM;
          i < Math.min(size, (t + 1) * ORGANISATIONS_PER_TEAM);
          i++) {
        OrganisationId id = new OrganisationId(team + "/organisation-" + i);
        organisations.add(new Organisation(id, 10, 20));
        keys.add(new ApiKey("key-" + i, id, KeyHash.of("key-" + i)));
      }
      teams.put(team, new TeamSettings(team, organisations, keys, List.of(), List.of()));
    }
    return Configuration.of(0, teams, Set.of(), Members.NONE);
  }

  private static Configuration configurationWithRoutes(int size) {
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
    return configurationWithOneTeam(List.of(), routes);
  }

  private static Configuration configurationWithTargets(int size) {
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
    return configurationWithOneTeam(pools, List.of());
  }

  private static Configuration configurationWithOneTeam(List<Pool> pools, List<Route> routes) {
    return Configuration.of(
        0,
        Map.of("team-0", new TeamSettings("team-0", List.of(), List.of(), pools, routes)),
        Set.of(),
        Members.NONE);
  }
}
