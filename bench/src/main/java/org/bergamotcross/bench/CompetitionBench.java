package org.bergamotcross.bench;

import java.util.Locale;
import java.util.stream.Collectors;
import org.bergamotcross.bench.CompetitionResult.End;

/**
 * Prints what callers get from each scheduling policy while organisations and kinds of requests
 * compete for the slots of a pool.
 *
 * <pre>{@code
 * java -cp ... org.bergamotcross.bench.CompetitionBench 1 5
 * }</pre>
 */
public final class CompetitionBench {
  private CompetitionBench() {}

  /**
   * Runs all loads and policies.
   *
   * @param args the first seed and the number of runs of each row
   */
  public static void main(String[] args) {
    int seed = args.length > 0 ? Integer.parseInt(args[0]) : 1;
    int runs = args.length > 1 ? Integer.parseInt(args[1]) : 3;
    System.out.println(
        "| load | policy | requests | on time | late | refused | failed | refused late | worth"
            + " | smallest organisation | inversion over 0.05 | served by priority |");
    System.out.println("|" + " --- |".repeat(12));
    for (CompetitionLoad load : CompetitionLoad.ALL) {
      for (CompetitionSimulation.Policy policy : CompetitionSimulation.Policy.values()) {
        CompetitionResult sum = new CompetitionResult();
        for (int run = 0; run < runs; run++) {
          sum.add(
              CompetitionSimulation.run(
                  load, policy, CompetitionSimulation.Placing.DEFAULT, seed + run));
        }
        System.out.println(row(load, policy, sum));
      }
    }
  }

  private static String row(
      CompetitionLoad load, CompetitionSimulation.Policy policy, CompetitionResult result) {
    return String.format(
        Locale.ROOT,
        "| %s | %s | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.2f | %.3f | %s |",
        load.name(),
        policy.reportName(),
        result.count(),
        result.share(End.ON_TIME),
        result.share(End.LATE),
        result.share(End.REFUSED),
        result.share(End.FAILED),
        result.refusedLateShare(),
        result.worth(),
        result.smallestOrganisationShare(),
        result.largestInversion(),
        result.servedByPriority().stream()
            .map(share -> String.format(Locale.ROOT, "%.3f", share))
            .collect(Collectors.joining(" ")));
  }
}
