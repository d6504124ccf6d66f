package org.bergamotcross.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.HdrHistogram.Histogram;
import org.bergamotcross.core.config.Organisation;

/**
 * Simulates three policies for fleet-wide rate limits under the same workload: fixed shares, one
 * owner for each organisation, and borrowing from holders.
 *
 * <p>Each organisation sends bursts that average 80 % of its rate, unevenly distributed over the
 * instances; in one scenario one small organisation sends five times its rate. A request is within
 * the rate if a single token bucket with the rate and burst of the organisation would admit it at
 * once. The reports are written to {@code rates.csv} and {@code rates.md}.
 *
 * <pre>{@code
 * java -cp ... org.bergamotcross.bench.RatePolicyBench [SEED] [DIRECTORY]
 * }</pre>
 */
public final class RatePolicyBench {
  private static final List<String> COLUMNS =
      List.of(
          "deployment",
          "scenario",
          "policy",
          "inside the rate",
          "refused inside",
          "excess",
          "worst organisation %",
          "messages per admitted",
          "wait p50 ms",
          "wait p99 ms",
          "wait p99.9 ms");
  private static final List<String> SCENARIOS =
      List.of(
          "steady",
          "over-rate",
          "instances-fail",
          "log-away",
          "domain-lost",
          "domain-lost-log-away");
  private static final long NANOS_PER_SECOND = 1_000 * AdmissionSimulation.NANOS_PER_MILLI;
  private static final long WARM_UP_NANOS = 8 * NANOS_PER_SECOND;
  private static final long ARRIVALS_END_NANOS = 60 * NANOS_PER_SECOND;
  // The time until a failed instance is expelled, if the log is available.
  private static final long EXPULSION_DELAY_NANOS = 5 * NANOS_PER_SECOND;

  private final AdmissionSimulation simulation;
  private final RatePolicy policy;
  private final String scenario;
  private final Set<Integer> members = new TreeSet<>();
  private final Set<Integer> runningInstances = new TreeSet<>();
  private final Map<String, OrganisationStats> organisationStats = new HashMap<>();
  private final Histogram waitMicros = new Histogram(60_000_000L, 3);
  private long withinRateCount;
  private long refusedWithinRateCount;
  private long admittedCount;
  private long warmUpMessageCount;

  private static final class OrganisationStats {
    final Organisation organisation;
    double referenceTokens;
    double surplus;
    double minSurplus;
    double maxExcess;
    long withinRateCount;
    long admittedCount;

    // Whether it sends several times its rate, so that most of its refusals are expected.
    final boolean offersOverRate;

    OrganisationStats(Organisation organisation, boolean offersOverRate) {
      this.offersOverRate = offersOverRate;
      this.organisation = organisation;
      this.referenceTokens = organisation.burst();
    }

    // Updates the largest number of requests that any time window up to now has admitted beyond
    // rate x time + burst.
    void recordAdmission(long timeNanos) {
      surplus = admittedCount++ - organisation.rate() * timeNanos / 1e9;
      minSurplus = Math.min(minSurplus, surplus);
      maxExcess = Math.max(maxExcess, surplus + 1 - minSurplus - organisation.burst());
    }
  }

  private RatePolicyBench(AdmissionSimulation simulation, RatePolicy policy, String scenario) {
    this.simulation = simulation;
    this.policy = policy;
    this.scenario = scenario;
    for (int i = 0; i < simulation.instanceCount; i++) {
      members.add(i);
      runningInstances.add(i);
    }
  }

  /**
   * Simulates all scenarios and writes the reports.
   *
   * @param args the seed, 1 if absent, and the directory, {@code target/bench} if absent
   * @throws IOException if a report cannot be written
   */
  public static void main(String[] args) throws IOException {
    long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
    List<List<String>> rows = new ArrayList<>();
    for (int deployment = 0; deployment < 2; deployment++) {
      for (String scenario : SCENARIOS) {
        for (int kind = 0; kind < 3; kind++) {
          rows.add(run(deployment, scenario, kind, seed));
        }
      }
    }
    Path directory = Path.of(args.length > 1 ? args[1] : "target/bench");
    BenchReport.write(directory, "rates", "Seed " + seed + ".", COLUMNS, rows);
  }

  private static List<String> run(int deployment, String scenario, int kind, long seed) {
    AdmissionSimulation simulation =
        deployment == 0
            ? new AdmissionSimulation(17, 3, 500_000, seed)
            : new AdmissionSimulation(18, 4, 1_500_000, seed);
    RatePolicy policy =
        switch (kind) {
          case 0 -> new RatePolicy.FixedShares(simulation, new HashMap<>());
          case 1 -> new RatePolicy.SingleOwner(simulation);
          default -> new RatePolicy.Borrowing(simulation);
        };
    RatePolicyBench bench = new RatePolicyBench(simulation, policy, scenario);
    bench.run();
    String name = deployment == 0 ? "wislotrans" : "kovac";
    String kindName = List.of("fixed-shares", "one-owner", "borrowing").get(kind);
    return bench.reportRow(name, kindName);
  }

  private void run() {
    for (Organisation o : AdmissionSimulation.createOrganisations()) {
      boolean offersOverRate = scenario.equals("over-rate") && o.id().value().endsWith("o2");
      organisationStats.put(o.id().value(), new OrganisationStats(o, offersOverRate));
    }
    policy.configure(members);
    scheduleTicks();
    simulation.scheduleAt(WARM_UP_NANOS, () -> warmUpMessageCount = simulation.messageCount);
    AdmissionSimulation.createOrganisations()
        .forEach(o -> scheduleArrivals(organisationStats.get(o.id().value()), WARM_UP_NANOS));
    scheduleFaults();
    simulation.runUntil(ARRIVALS_END_NANOS + 6 * NANOS_PER_SECOND);
  }

  private void scheduleTicks() {
    policy.tick();
    simulation.scheduleAt(
        simulation.timeNanos() + 10 * AdmissionSimulation.NANOS_PER_MILLI, this::scheduleTicks);
  }

  private void scheduleFaults() {
    switch (scenario) {
      case "instances-fail" -> {
        for (int i = 0; i < 3; i++) {
          Set<Integer> one = Set.of(ownerOf("team/o" + i));
          simulation.scheduleAt((15 + 12L * i) * NANOS_PER_SECOND, () -> failInstances(one));
          simulation.scheduleAt(
              (15 + 12L * i) * NANOS_PER_SECOND + EXPULSION_DELAY_NANOS, () -> expelMembers(one));
        }
      }
      case "log-away" ->
          simulation.scheduleAt(
              15 * NANOS_PER_SECOND, () -> failInstances(Set.of(ownerOf("team/o0"))));
      case "domain-lost" -> {
        simulation.scheduleAt(15 * NANOS_PER_SECOND, () -> failInstances(firstOwnersDomain()));
        simulation.scheduleAt(
            15 * NANOS_PER_SECOND + EXPULSION_DELAY_NANOS, () -> expelMembers(firstOwnersDomain()));
      }
      case "domain-lost-log-away" ->
          simulation.scheduleAt(15 * NANOS_PER_SECOND, () -> failInstances(firstOwnersDomain()));
      default -> {}
    }
  }

  // Returns the highest-ranked holder, which is the only owner under SingleOwner.
  private int ownerOf(String organisation) {
    return AdmissionSimulation.instanceIndex(
        simulation.createConfiguration(0, members).members().holders(organisation).getFirst().id());
  }

  private Set<Integer> firstOwnersDomain() {
    int domain = ownerOf("team/o0") % simulation.failureDomainCount;
    Set<Integer> lost = new TreeSet<>();
    for (int i = domain; i < simulation.instanceCount; i += simulation.failureDomainCount) {
      lost.add(i);
    }
    return lost;
  }

  private void failInstances(Set<Integer> instances) {
    instances.forEach(
        instance -> {
          runningInstances.remove(instance);
          policy.onInstanceFailure(instance);
        });
  }

  // Publishes one configuration for each expelled member, as the log has one record for each.
  private void expelMembers(Set<Integer> instances) {
    for (int instance : instances) {
      members.remove(instance);
      policy.configure(members);
    }
  }

  // Arrivals come in bursts: 300 ms at 1.6 times the rate, then a pause of 300 ms.
  private void scheduleArrivals(OrganisationStats stats, long previousNanos) {
    boolean offersOverRate = stats.offersOverRate;
    double factor = offersOverRate ? 5 : 1.6;
    double gapSeconds =
        -Math.log(1 - simulation.arrivalRandom.nextDouble()) / (stats.organisation.rate() * factor);
    long arrivalNanos = previousNanos + (long) (gapSeconds * 1e9);
    if (arrivalNanos < ARRIVALS_END_NANOS) {
      simulation.scheduleAt(
          arrivalNanos,
          () -> {
            if (offersOverRate
                || arrivalNanos / (300 * AdmissionSimulation.NANOS_PER_MILLI) % 2 == 0) {
              handleArrival(stats, secondsSinceLastArrival(stats, arrivalNanos));
            }
            scheduleArrivals(stats, arrivalNanos);
          });
    }
  }

  private final Map<OrganisationStats, Long> lastArrivalNanos = new HashMap<>();

  private double secondsSinceLastArrival(OrganisationStats stats, long arrivalNanos) {
    Long previousNanos = lastArrivalNanos.put(stats, arrivalNanos);
    return previousNanos == null ? 0 : (arrivalNanos - previousNanos) / 1e9;
  }

  // A request is within the rate if a single token bucket for the whole fleet would admit it.
  private void handleArrival(OrganisationStats stats, double seconds) {
    stats.referenceTokens =
        Math.min(
            stats.organisation.burst(),
            stats.referenceTokens + seconds * stats.organisation.rate());
    boolean isWithinRate = stats.referenceTokens >= 1;
    stats.referenceTokens -= isWithinRate ? 1 : 0;
    stats.withinRateCount += isWithinRate ? 1 : 0;
    withinRateCount += isWithinRate ? 1 : 0;
    long start = simulation.timeNanos();
    policy.admit(
        pickInstance(stats),
        stats.organisation,
        isAdmitted -> {
          if (isAdmitted) {
            admittedCount++;
            stats.recordAdmission(simulation.timeNanos());
            waitMicros.recordValue(Math.max(0, (simulation.timeNanos() - start) / 1_000));
          } else if (isWithinRate && !stats.offersOverRate) {
            refusedWithinRateCount++;
          }
        });
  }

  // Half of the requests of an organisation arrive at one instance, which changes every 5 s.
  private int pickInstance(OrganisationStats stats) {
    List<Integer> candidates = List.copyOf(runningInstances);
    long preferred =
        simulation.timeNanos() / (5 * NANOS_PER_SECOND) + stats.organisation.id().hashCode();
    return candidates.get(
        simulation.arrivalRandom.nextBoolean()
            ? Math.floorMod(preferred, candidates.size())
            : simulation.arrivalRandom.nextInt(candidates.size()));
  }

  private List<String> reportRow(String deployment, String kind) {
    double worst =
        organisationStats.values().stream()
            .mapToDouble(
                t ->
                    100.0
                        * Math.min(t.withinRateCount, t.admittedCount)
                        / Math.max(1, t.withinRateCount))
            .min()
            .orElse(100);
    double excess =
        organisationStats.values().stream().mapToDouble(t -> t.maxExcess).max().orElse(0);
    return List.of(
        deployment,
        scenario,
        kind,
        Long.toString(withinRateCount),
        Long.toString(refusedWithinRateCount),
        format(excess),
        String.format(Locale.ROOT, "%.3f", worst),
        format(
            (simulation.messageCount - warmUpMessageCount) / (double) Math.max(1, admittedCount)),
        format(waitMicros.getValueAtPercentile(50) / 1e3),
        format(waitMicros.getValueAtPercentile(99) / 1e3),
        format(waitMicros.getValueAtPercentile(99.9) / 1e3));
  }

  private static String format(double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }
}
