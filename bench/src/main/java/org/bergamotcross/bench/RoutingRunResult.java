package org.bergamotcross.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.HdrHistogram.Histogram;

/** Measurements of one or more runs of a scenario; covers requests that arrive after the fault. */
final class RoutingRunResult {
  static final int ORGANISATION_COUNT = 8;
  private static final int SIGNIFICANT_DIGITS = 3;

  /**
   * The detection times of single instances. Like the two lists below, measured from the first
   * request sent to the faulty target after the fault.
   */
  final List<Long> localDetectionMillis = new ArrayList<>();

  final List<Long> fleetDetectionMillis = new ArrayList<>();
  final List<Long> lastFaultySendMillis = new ArrayList<>();
  final Histogram latencyMicros = new Histogram(SIGNIFICANT_DIGITS);
  final long[] finishedRequests = new long[ORGANISATION_COUNT];
  final long[] servedRequests = new long[ORGANISATION_COUNT];
  final Set<String> falselyEjected = new HashSet<>();
  int falseEjections;
  int undetectedRuns;
  long refused;
  long failed;
  long retries;

  void add(RoutingRunResult other) {
    localDetectionMillis.addAll(other.localDetectionMillis);
    fleetDetectionMillis.addAll(other.fleetDetectionMillis);
    lastFaultySendMillis.addAll(other.lastFaultySendMillis);
    latencyMicros.add(other.latencyMicros);
    for (int i = 0; i < ORGANISATION_COUNT; i++) {
      finishedRequests[i] += other.finishedRequests[i];
      servedRequests[i] += other.servedRequests[i];
    }
    falseEjections += other.falseEjections;
    falselyEjected.addAll(other.falselyEjected);
    undetectedRuns += other.undetectedRuns;
    refused += other.refused;
    failed += other.failed;
    retries += other.retries;
  }

  long requestCount() {
    return Arrays.stream(finishedRequests).sum();
  }

  /** Returns the lowest success rate of any organisation, in percent. */
  double worstSuccessPercent() {
    double lowest = 100;
    for (int i = 0; i < ORGANISATION_COUNT; i++) {
      if (finishedRequests[i] > 0) {
        lowest = Math.min(lowest, 100.0 * servedRequests[i] / finishedRequests[i]);
      }
    }
    return lowest;
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
