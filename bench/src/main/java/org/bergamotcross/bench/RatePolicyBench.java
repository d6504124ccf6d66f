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
 * Compares fixed shares, one owner for each organisation, and borrowing from holders.
 *
 * <p>All policies see the same arrivals: each organisation offers requests that a single bucket of
 * its rate and burst would admit at once, unevenly over the instances; in one scenario one small
 * organisation sends five times its rate. It writes {@code rates.csv} and {@code rates.md}.
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
  private static final long SECOND = 1_000 * AdmissionModel.MILLI;
  private static final long WARM_UP = 8 * SECOND;
  private static final long LENGTH = 60 * SECOND;
  // An instance that fails is expelled after this time, when the log can be reached.
  private static final long EXPULSION = 5 * SECOND;

  private final AdmissionModel model;
  private final RatePolicy policy;
  private final String scenario;
  private final Set<Integer> members = new TreeSet<>();
  private final Set<Integer> up = new TreeSet<>();
  private final Map<String, Tally> tallies = new HashMap<>();
  private final Histogram waits = new Histogram(60_000_000L, 3);
  private long inside;
  private long refusedInside;
  private long admitted;
  private long messagesBefore;

  private static final class Tally {
    final Organisation organisation;
    double level;
    double line;
    double least;
    double excess;
    long inside;
    long count;

    // Whether it offers several times its rate, so that most of its refusals are right.
    final boolean over;

    Tally(Organisation organisation, boolean over) {
      this.over = over;
      this.organisation = organisation;
      this.level = organisation.burst();
    }

    // The most beyond rate x time + burst that a window up to now has admitted.
    void admit(long time) {
      line = count++ - organisation.rate() * time / 1e9;
      least = Math.min(least, line);
      excess = Math.max(excess, line + 1 - least - organisation.burst());
    }
  }

  private RatePolicyBench(AdmissionModel model, RatePolicy policy, String scenario) {
    this.model = model;
    this.policy = policy;
    this.scenario = scenario;
    for (int i = 0; i < model.instances; i++) {
      members.add(i);
      up.add(i);
    }
  }

  /**
   * Runs all scenarios and writes the reports.
   *
   * @param args the seed, 1 if absent, and the directory, {@code target/bench} if absent
   * @throws IOException if a report can't be written
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
    AdmissionModel model =
        deployment == 0
            ? new AdmissionModel(17, 3, 500_000, seed)
            : new AdmissionModel(18, 4, 1_500_000, seed);
    RatePolicy policy =
        switch (kind) {
          case 0 -> new RatePolicy.FixedShares(model, new HashMap<>());
          case 1 -> new RatePolicy.OneOwner(model);
          default -> new RatePolicy.Borrowing(model);
        };
    RatePolicyBench bench = new RatePolicyBench(model, policy, scenario);
    bench.run();
    String name = deployment == 0 ? "wislotrans" : "kovac";
    String kindName = List.of("fixed-shares", "one-owner", "borrowing").get(kind);
    return bench.row(name, kindName);
  }

  private void run() {
    for (Organisation o : AdmissionModel.organisations()) {
      boolean over = scenario.equals("over-rate") && o.id().value().endsWith("o2");
      tallies.put(o.id().value(), new Tally(o, over));
    }
    policy.configure(members);
    repeatTick();
    model.at(WARM_UP, () -> messagesBefore = model.messages);
    AdmissionModel.organisations().forEach(o -> offer(tallies.get(o.id().value()), WARM_UP));
    faults();
    model.runUntil(LENGTH + 6 * SECOND);
  }

  private void repeatTick() {
    policy.tick();
    model.at(model.time() + 10 * AdmissionModel.MILLI, this::repeatTick);
  }

  private void faults() {
    switch (scenario) {
      case "instances-fail" -> {
        for (int i = 0; i < 3; i++) {
          Set<Integer> one = Set.of(owner("team/o" + i));
          model.at((15 + 12L * i) * SECOND, () -> fail(one));
          model.at((15 + 12L * i) * SECOND + EXPULSION, () -> expel(one));
        }
      }
      case "log-away" -> model.at(15 * SECOND, () -> fail(Set.of(owner("team/o0"))));
      case "domain-lost" -> {
        model.at(15 * SECOND, () -> fail(domain()));
        model.at(15 * SECOND + EXPULSION, () -> expel(domain()));
      }
      case "domain-lost-log-away" -> model.at(15 * SECOND, () -> fail(domain()));
      default -> {}
    }
  }

  // The best holder: it is the only one that matters to the policy with one owner.
  private int owner(String organisation) {
    return AdmissionModel.index(
        model.configuration(0, members).members().holders(organisation).getFirst().id());
  }

  private Set<Integer> domain() {
    int domain = owner("team/o0") % model.domains;
    Set<Integer> lost = new TreeSet<>();
    for (int i = domain; i < model.instances; i += model.domains) {
      lost.add(i);
    }
    return lost;
  }

  private void fail(Set<Integer> instances) {
    instances.forEach(
        instance -> {
          up.remove(instance);
          policy.fail(instance);
        });
  }

  // One record for each member, as the log has it.
  private void expel(Set<Integer> instances) {
    for (int instance : instances) {
      members.remove(instance);
      policy.configure(members);
    }
  }

  // Arrivals come in bursts: on for 300 ms, off for 300 ms, at 1.6 times the rate while on.
  private void offer(Tally tally, long from) {
    boolean over = tally.over;
    double factor = over ? 5 : 1.6;
    double gap = -Math.log(1 - model.arrivals.nextDouble()) / (tally.organisation.rate() * factor);
    long at = from + (long) (gap * 1e9);
    if (at < LENGTH) {
      model.at(
          at,
          () -> {
            if (over || at / (300 * AdmissionModel.MILLI) % 2 == 0) {
              arrive(tally, gapSince(tally, at));
            }
            offer(tally, at);
          });
    }
  }

  private final Map<Tally, Long> lastArrival = new HashMap<>();

  private double gapSince(Tally tally, long at) {
    Long last = lastArrival.put(tally, at);
    return last == null ? 0 : (at - last) / 1e9;
  }

  // A request is inside the rate when a single bucket for the whole fleet would admit it.
  private void arrive(Tally tally, double seconds) {
    tally.level =
        Math.min(tally.organisation.burst(), tally.level + seconds * tally.organisation.rate());
    boolean isInside = tally.level >= 1;
    tally.level -= isInside ? 1 : 0;
    tally.inside += isInside ? 1 : 0;
    inside += isInside ? 1 : 0;
    long start = model.time();
    policy.arrive(
        instance(tally),
        tally.organisation,
        ok -> {
          if (ok) {
            admitted++;
            tally.admit(model.time());
            waits.recordValue(Math.max(0, (model.time() - start) / 1_000));
          } else if (isInside && !tally.over) {
            refusedInside++;
          }
        });
  }

  // Half of the requests of an organisation come to one instance, which changes every 5 s.
  private int instance(Tally tally) {
    List<Integer> running = List.copyOf(up);
    long favourite = model.time() / (5 * SECOND) + tally.organisation.id().hashCode();
    return running.get(
        model.arrivals.nextBoolean()
            ? Math.floorMod(favourite, running.size())
            : model.arrivals.nextInt(running.size()));
  }

  private List<String> row(String deployment, String kind) {
    double worst =
        tallies.values().stream()
            .mapToDouble(t -> 100.0 * Math.min(t.inside, t.count) / Math.max(1, t.inside))
            .min()
            .orElse(100);
    double excess = tallies.values().stream().mapToDouble(t -> t.excess).max().orElse(0);
    return List.of(
        deployment,
        scenario,
        kind,
        Long.toString(inside),
        Long.toString(refusedInside),
        number(excess),
        String.format(Locale.ROOT, "%.3f", worst),
        number((model.messages - messagesBefore) / (double) Math.max(1, admitted)),
        number(waits.getValueAtPercentile(50) / 1e3),
        number(waits.getValueAtPercentile(99) / 1e3),
        number(waits.getValueAtPercentile(99.9) / 1e3));
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }
}
