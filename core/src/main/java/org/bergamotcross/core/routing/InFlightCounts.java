package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.Now;

/**
 * Counts the requests in flight at each target: the own ones exactly, those of peers as last told.
 *
 * <p>Peers tell averages over their reporting interval. A count at one moment says little about a
 * target whose requests last for 20 ms when it is used for the next 500 ms.
 */
public final class InFlightCounts {
  /**
   * A few times the length of a usual request. With 1,500 ms all instances acted on the same old
   * averages, moved together and left slots unused: at 60 % load half of the requests failed.
   */
  static final Duration PEER_AGE_LIMIT = Duration.ofMillis(100);

  private record Report(Map<TargetId, Double> averages, Now receivedAt) {}

  private final Map<TargetId, Integer> own = new HashMap<>();
  private final Map<InstanceId, Report> reports = new HashMap<>();
  private final Map<TargetId, Double> peerTotals = new HashMap<>();

  /** Creates counts without any request in flight. */
  public InFlightCounts() {}

  /**
   * Counts an attempt that is sent to a target.
   *
   * @param target the target
   */
  public void started(TargetId target) {
    own.merge(target, 1, Integer::sum);
  }

  /**
   * Counts the end of an attempt.
   *
   * @param target the target
   */
  public void ended(TargetId target) {
    own.computeIfPresent(target, (id, count) -> count > 1 ? count - 1 : null);
  }

  /**
   * Replaces what a peer told.
   *
   * @param peer the peer
   * @param averages the average number of its requests in flight by target, without those at 0
   * @param now the time at which the report arrived
   */
  public void reported(InstanceId peer, Map<TargetId, Double> averages, Now now) {
    reports.put(peer, new Report(Map.copyOf(averages), now));
    sumUp();
  }

  /**
   * Returns the own requests in flight.
   *
   * @param target the target
   * @return the number of attempts of this instance that have started and not ended
   */
  public int own(TargetId target) {
    return own.getOrDefault(target, 0);
  }

  /**
   * Returns all known requests in flight.
   *
   * @param target the target
   * @param now the present time
   * @return the own number and the rounded sum of what peers told within the age limit
   */
  public int known(TargetId target, Now now) {
    if (reports.values().removeIf(r -> now.since(r.receivedAt()).compareTo(PEER_AGE_LIMIT) > 0)) {
      sumUp();
    }
    return own(target) + (int) Math.round(peerTotals.getOrDefault(target, 0.0));
  }

  private void sumUp() {
    peerTotals.clear();
    for (Report report : reports.values()) {
      report.averages().forEach((id, average) -> peerTotals.merge(id, average, Double::sum));
    }
  }
}
