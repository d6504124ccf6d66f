package org.bergamotcross.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/**
 * Simulates the routing policy, round robin, and round robin with ejection after consecutive
 * failures under the same scenarios.
 *
 * <p>The simulation runs the decisions of {@code core.routing} on a model of one pool: requests
 * arrive as a Poisson process, targets have slots and a log-normal service time with a mean of 20
 * ms, and messages take the latency between failure domains. The reports are written to {@code
 * routing.csv} and {@code routing.md}.
 *
 * <pre>{@code
 * java -cp ... org.bergamotcross.bench.RoutingPolicyBench --runs 5 --seed 1 --out target/bench
 * }</pre>
 */
public final class RoutingPolicyBench {
  private static final List<String> COLUMNS =
      List.of(
          "pool",
          "scenario",
          "policy",
          "requests",
          "local-ms",
          "fleet-ms",
          "last-work-ms",
          "undetected",
          "false-ejections",
          "targets-falsely-ejected",
          "failed",
          "refused",
          "retries",
          "p50-ms",
          "p99-ms",
          "p99.9-ms",
          "worst-organisation-%");

  private final int runs;
  private final long seed;
  private final String scenarioFilter;

  private RoutingPolicyBench(int runs, long seed, String scenarioFilter) {
    this.runs = runs;
    this.seed = seed;
    this.scenarioFilter = scenarioFilter;
  }

  /**
   * Simulates all scenarios, or the selected one, and writes the reports.
   *
   * @param args {@code --runs}, {@code --seed}, {@code --scenario} and {@code --out}
   * @throws IOException if a report cannot be written
   */
  public static void main(String[] args) throws IOException {
    Options options = new Options();
    options.addOption(
        Option.builder("r")
            .longOpt("runs")
            .hasArg()
            .desc("runs for each scenario, pool and policy; default 5")
            .get());
    options.addOption(
        Option.builder("s")
            .longOpt("seed")
            .hasArg()
            .desc("seed of the first run; default 1")
            .get());
    options.addOption(
        Option.builder("c")
            .longOpt("scenario")
            .hasArg()
            .desc("name of the only scenario to run; default all")
            .get());
    options.addOption(
        Option.builder("o")
            .longOpt("out")
            .hasArg()
            .desc("directory for the reports; default target/bench")
            .get());
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      RoutingPolicyBench bench =
          new RoutingPolicyBench(
              Integer.parseInt(line.getOptionValue("runs", "5")),
              Long.parseLong(line.getOptionValue("seed", "1")),
              line.getOptionValue("scenario", ""));
      bench.write(Path.of(line.getOptionValue("out", "target/bench")));
    } catch (ParseException | NumberFormatException e) {
      System.err.println(e.getMessage() + "; use --runs N --seed N --scenario NAME --out DIR");
      System.exit(2);
    }
  }

  private void write(Path directory) throws IOException {
    List<List<String>> rows = new ArrayList<>();
    for (Scenario scenario : Scenario.ALL) {
      if (scenarioFilter.isEmpty() || scenarioFilter.equals(scenario.name())) {
        for (Deployment deployment : Deployment.ALL) {
          for (RoutingPolicy.Kind kind : RoutingPolicy.Kind.values()) {
            rows.add(reportRow(deployment, scenario, kind));
          }
        }
      }
    }
    Files.createDirectories(directory);
    try (CSVPrinter csv =
        new CSVPrinter(
            Files.newBufferedWriter(directory.resolve("routing.csv")), CSVFormat.DEFAULT)) {
      csv.printRecord(COLUMNS);
      csv.printRecords(rows);
    }
    String report = markdown(rows);
    Files.writeString(directory.resolve("routing.md"), report);
    System.out.print(report);
  }

  private List<String> reportRow(
      Deployment deployment, Scenario scenario, RoutingPolicy.Kind kind) {
    RoutingRunResult sum = new RoutingRunResult();
    for (int i = 0; i < runs; i++) {
      sum.add(RoutingSimulation.run(deployment, scenario, kind, seed + i));
    }
    return List.of(
        deployment.name(),
        scenario.name(),
        kind.reportName(),
        Long.toString(sum.requestCount()),
        medianAndMax(sum.localDetectionMillis),
        medianAndMax(sum.fleetDetectionMillis),
        medianAndMax(sum.lastFaultySendMillis),
        Integer.toString(sum.undetectedRuns),
        Integer.toString(sum.falseEjections),
        Integer.toString(sum.falselyEjected.size()),
        Long.toString(sum.failed),
        Long.toString(sum.refused),
        Long.toString(sum.retries),
        format(sum.latencyMillis(50)),
        format(sum.latencyMillis(99)),
        format(sum.latencyMillis(99.9)),
        String.format(Locale.ROOT, "%.3f", sum.worstSuccessPercent()));
  }

  private static String medianAndMax(List<Long> millis) {
    return millis.isEmpty()
        ? "-"
        : RoutingRunResult.median(millis) + "/" + RoutingRunResult.max(millis);
  }

  private static String format(double millis) {
    return String.format(Locale.ROOT, "%.1f", millis);
  }

  private String markdown(List<List<String>> rows) {
    StringBuilder text = new StringBuilder();
    text.append("Seeds ").append(seed).append(" to ").append(seed + runs - 1);
    text.append("; times in ms as median/maximum over the runs.\n\n| ");
    text.append(String.join(" | ", COLUMNS)).append(" |\n|");
    text.append(" --- |".repeat(COLUMNS.size())).append('\n');
    rows.forEach(row -> text.append("| ").append(String.join(" | ", row)).append(" |\n"));
    return text.toString();
  }
}
