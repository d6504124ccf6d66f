package org.bergamotcross.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.HdrHistogram.Histogram;

/** What one or more runs of a scenario measured; counts requests that came after the fault. */
final class RunResult {
  static final int ORGANISATIONS = 8;
  private static final int DIGITS = 3;

  /** The times from the first request at the faulty target after the fault, in milliseconds. */
  final List<Long> localMillis = new ArrayList<>();

  final List<Long> fleetMillis = new ArrayList<>();
  final List<Long> lastWorkMillis = new ArrayList<>();
  final Histogram latencyMicros = new Histogram(DIGITS);
  final long[] asked = new long[ORGANISATIONS];
  final long[] served = new long[ORGANISATIONS];
  final Set<String> falselyEjected = new HashSet<>();
  int falseEjections;
  int undetected;
  long refused;
  long failed;
  long retries;

  void add(RunResult other) {
    localMillis.addAll(other.localMillis);
    fleetMillis.addAll(other.fleetMillis);
    lastWorkMillis.addAll(other.lastWorkMillis);
    latencyMicros.add(other.latencyMicros);
    for (int i = 0; i < ORGANISATIONS; i++) {
      asked[i] += other.asked[i];
      served[i] += other.served[i];
    }
    falseEjections += other.falseEjections;
    falselyEjected.addAll(other.falselyEjected);
    undetected += other.undetected;
    refused += other.refused;
    failed += other.failed;
    retries += other.retries;
  }

  long requests() {
    return Arrays.stream(asked).sum();
  }

  /** Returns the share of successful requests of the worst-served organisation, in percent. */
  double worstSuccess() {
    double worst = 100;
    for (int i = 0; i < ORGANISATIONS; i++) {
      if (asked[i] > 0) {
        worst = Math.min(worst, 100.0 * served[i] / asked[i]);
      }
    }
    return worst;
  }

  static long max(List<Long> values) {
    return values.stream().mapToLong(Long::longValue).max().orElse(-1);
  }

  static long median(List<Long> values) {
    List<Long> sorted = values.stream().sorted().toList();
    return sorted.isEmpty() ? -1 : sorted.get(sorted.size() / 2);
  }

  double latencyMillis(double percentile) {
    return latencyMicros.getValueAtPercentile(percentile) / 1_000.0;
  }
}
