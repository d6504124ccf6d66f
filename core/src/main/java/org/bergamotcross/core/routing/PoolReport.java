package org.bergamotcross.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * What one instance saw of a pool since its previous report. Reports of several instances are
 * merged by adding.
 *
 * @param responses the number of responses of targets
 * @param waited the number of these responses for which the request waited too long at the target
 * @param workMillis the usual duration of these responses, in ms
 * @param rejections the number of requests that targets rejected
 * @param demandMillis the usual duration of all requests that arrived, in ms, by priority
 */
public record PoolReport(
    long responses,
    long waited,
    long workMillis,
    long rejections,
    Map<Integer, Long> demandMillis) {
  /** A report of nothing. */
  public static final PoolReport EMPTY = new PoolReport(0, 0, 0, 0, Map.of());

  /** Makes an unmodifiable copy of the demand. */
  public PoolReport {
    demandMillis = Map.copyOf(demandMillis);
  }

  /**
   * Adds another report.
   *
   * @param other the other report
   * @return the sum
   */
  public PoolReport plus(PoolReport other) {
    Map<Integer, Long> demand = new HashMap<>(demandMillis);
    other.demandMillis.forEach((priority, millis) -> demand.merge(priority, millis, Long::sum));
    return new PoolReport(
        responses + other.responses,
        waited + other.waited,
        workMillis + other.workMillis,
        rejections + other.rejections,
        demand);
  }
}
