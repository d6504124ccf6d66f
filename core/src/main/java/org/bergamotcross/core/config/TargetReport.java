package org.bergamotcross.core.config;

import java.util.Comparator;

/**
 * Identifies a report of a target about itself; later reports of the target compare as greater.
 *
 * @param startedAtMillis the Unix time in ms of the start of the target, 0 if unknown
 * @param sequence the sequence number of the report since that start
 */
public record TargetReport(long startedAtMillis, long sequence)
    implements Comparable<TargetReport> {
  private static final Comparator<TargetReport> ORDER =
      Comparator.comparingLong(TargetReport::startedAtMillis)
          .thenComparingLong(TargetReport::sequence);

  @Override
  public int compareTo(TargetReport other) {
    return ORDER.compare(this, other);
  }
}
