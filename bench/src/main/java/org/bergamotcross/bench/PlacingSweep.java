package org.bergamotcross.bench;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.bergamotcross.bench.CompetitionSimulation.Placing;
import org.bergamotcross.bench.CompetitionSimulation.Policy;
import org.bergamotcross.core.routing.FailureRisk.Assumptions;
import org.bergamotcross.core.routing.PoolPressure;
import org.bergamotcross.core.routing.TargetChooser.Limits;

/**
 * Prints the worth that callers get when one constant of the placing of requests is halved or
 * doubled.
 *
 * <pre>{@code
 * java -cp ... org.bergamotcross.bench.PlacingSweep 1 5
 * }</pre>
 */
public final class PlacingSweep {
  private PlacingSweep() {}

  /**
   * Runs all variants on all loads.
   *
   * @param args the first seed and the number of runs of each figure
   */
  public static void main(String[] args) {
    int seed = args.length > 0 ? Integer.parseInt(args[0]) : 1;
    int runs = args.length > 1 ? Integer.parseInt(args[1]) : 3;
    StringBuilder head = new StringBuilder("| variant |");
    CompetitionLoad.ALL.forEach(load -> head.append(' ').append(load.name()).append(" |"));
    System.out.println(head);
    System.out.println("| --- |" + " --- |".repeat(CompetitionLoad.ALL.size()));
    variants().forEach((name, placing) -> System.out.println(row(name, placing, seed, runs)));
  }

  private static String row(String name, Placing placing, int seed, int runs) {
    StringBuilder row = new StringBuilder("| ").append(name).append(" |");
    for (CompetitionLoad load : CompetitionLoad.ALL) {
      CompetitionResult sum = new CompetitionResult();
      for (int run = 0; run < runs; run++) {
        sum.add(CompetitionSimulation.run(load, Policy.DEADLINE, placing, seed + run));
      }
      row.append(String.format(Locale.ROOT, " %.3f |", sum.worth()));
    }
    return row.toString();
  }

  private static Map<String, Placing> variants() {
    Map<String, Placing> variants = new LinkedHashMap<>();
    variants.put("as it is", Placing.DEFAULT);
    for (double factor : new double[] {0.5, 2}) {
      String suffix = " x " + factor;
      Assumptions risk = Assumptions.DEFAULT;
      Limits limits = Limits.DEFAULT;
      variants.put(
          "prior" + suffix,
          withRisk(
              new Assumptions(
                  risk.prior() * factor,
                  risk.failureRateWhenFailing(),
                  risk.failureRateWhenHealthy(),
                  risk.decayTime())));
      variants.put(
          "successes when failing" + suffix,
          withRisk(
              new Assumptions(
                  risk.prior(),
                  1 - (1 - risk.failureRateWhenFailing()) * factor,
                  risk.failureRateWhenHealthy(),
                  risk.decayTime())));
      variants.put(
          "failures when healthy" + suffix,
          withRisk(
              new Assumptions(
                  risk.prior(),
                  risk.failureRateWhenFailing(),
                  risk.failureRateWhenHealthy() * factor,
                  risk.decayTime())));
      variants.put(
          "decay time" + suffix,
          withRisk(
              new Assumptions(
                  risk.prior(),
                  risk.failureRateWhenFailing(),
                  risk.failureRateWhenHealthy(),
                  Duration.ofMillis((long) (risk.decayTime().toMillis() * factor)))));
      variants.put(
          "desired utilization" + suffix,
          withLimits(
              new Limits(
                  limits.desiredUtilization() * factor,
                  limits.minCandidateShare(),
                  limits.minShareWithoutHighRisk(),
                  limits.localWeight())));
      variants.put(
          "candidate share" + suffix,
          withLimits(
              new Limits(
                  limits.desiredUtilization(),
                  Math.min(1, limits.minCandidateShare() * factor),
                  limits.minShareWithoutHighRisk(),
                  limits.localWeight())));
      variants.put(
          "share without high risk" + suffix,
          withLimits(
              new Limits(
                  limits.desiredUtilization(),
                  limits.minCandidateShare(),
                  limits.minShareWithoutHighRisk() * factor,
                  limits.localWeight())));
      variants.put(
          "local weight" + suffix,
          withLimits(
              new Limits(
                  limits.desiredUtilization(),
                  limits.minCandidateShare(),
                  limits.minShareWithoutHighRisk(),
                  limits.localWeight() * factor)));
    }
    return variants;
  }

  private static Placing withRisk(Assumptions risk) {
    return new Placing(risk, Limits.DEFAULT, PoolPressure.MAX_WAIT_SHARE);
  }

  private static Placing withLimits(Limits limits) {
    return new Placing(Assumptions.DEFAULT, limits, PoolPressure.MAX_WAIT_SHARE);
  }
}
