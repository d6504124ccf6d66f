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
 * Compares the routing policy with round robin and with ejection by consecutive failures.
 *
 * <p>It drives the decisions of {@code core.routing} in a small model of one pool: requests arrive
 * at random, targets have slots and a log-normal service time with a mean of 20 ms, messages take
 * the time between failure domains. It writes {@code routing.csv} and {@code routing.md}.
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
  private final String only;

  private RoutingPolicyBench(int runs, long seed, String only) {
    this.runs = runs;
    this.seed = seed;
    this.only = only;
  }

  /**
   * Runs all scenarios and writes the reports.
   *
   * @param args {@code --runs}, {@code --seed}, {@code --scenario} and {@code --out}
   * @throws IOException if a report can't be written
   */
  public static void main(String[] args) throws IOException {
    Options options = new Options();
    options.addOption(Option.builder("r").longOpt("runs").hasArg().desc("runs of each").get());
    options.addOption(Option.builder("s").longOpt("seed").hasArg().desc("first seed").get());
    options.addOption(Option.builder("c").longOpt("scenario").hasArg().desc("only this").get());
    options.addOption(Option.builder("o").longOpt("out").hasArg().desc("directory").get());
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
      if (only.isEmpty() || only.equals(scenario.name())) {
        for (Deployment deployment : Deployment.ALL) {
          for (InstancePolicy.Kind kind : InstancePolicy.Kind.values()) {
            rows.add(row(deployment, scenario, kind));
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

  private List<String> row(Deployment deployment, Scenario scenario, InstancePolicy.Kind kind) {
    RunResult sum = new RunResult();
    for (int i = 0; i < runs; i++) {
      sum.add(FleetRun.run(deployment, scenario, kind, seed + i));
    }
    return List.of(
        deployment.name(),
        scenario.name(),
        kind.text(),
        Long.toString(sum.requests()),
        spread(sum.localMillis),
        spread(sum.fleetMillis),
        spread(sum.lastWorkMillis),
        Integer.toString(sum.undetected),
        Integer.toString(sum.falseEjections),
        Integer.toString(sum.falselyEjected.size()),
        Long.toString(sum.failed),
        Long.toString(sum.refused),
        Long.toString(sum.retries),
        number(sum.latencyMillis(50)),
        number(sum.latencyMillis(99)),
        number(sum.latencyMillis(99.9)),
        String.format(Locale.ROOT, "%.3f", sum.worstSuccess()));
  }

  private static String spread(List<Long> millis) {
    return millis.isEmpty() ? "-" : RunResult.median(millis) + "/" + RunResult.max(millis);
  }

  private static String number(double millis) {
    return String.format(Locale.ROOT, "%.1f", millis);
  }

  private String markdown(List<List<String>> rows) {
    StringBuilder text = new StringBuilder();
    text.append("Seeds ").append(seed).append(" to ").append(seed + runs - 1);
    text.append("; times as median/largest over the runs, in ms.\n\n| ");
    text.append(String.join(" | ", COLUMNS)).append(" |\n|");
    text.append(" --- |".repeat(COLUMNS.size())).append('\n');
    rows.forEach(row -> text.append("| ").append(String.join(" | ", row)).append(" |\n"));
    return text.toString();
  }
}
