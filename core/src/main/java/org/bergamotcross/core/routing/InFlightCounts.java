package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.ClockReading;

/**
 * Counts the requests in flight at each target: exactly for this instance, as last reported for
 * peers.
 *
 * <p>Peers report averages over their reporting interval, because an instantaneous count of
 * requests that last for 20 ms is a poor basis for choices over the next 500 ms.
 */
public final class InFlightCounts {
  /**
   * A few times the duration of a typical request. With 1,500 ms, all instances acted on the same
   * stale averages, shifted their load together and left slots unused: at 60 % load half of the
   * requests failed.
   */
  static final Duration MAX_PEER_REPORT_AGE = Duration.ofMillis(100);

  private record PeerAverages(Map<TargetId, Double> averages, ClockReading receivedAt) {}

  private final Map<TargetId, Integer> own = new HashMap<>();
  private final Map<InstanceId, PeerAverages> peerReports = new HashMap<>();
  private final Map<TargetId, Double> peerTotals = new HashMap<>();

  /** Creates counts without any request in flight. */
  public InFlightCounts() {}

  /**
   * Counts an attempt that is sent to a target.
   *
   * @param target the target
   */
  public void onAttemptStarted(TargetId target) {
    own.merge(target, 1, Integer::sum);
  }

  /**
   * Counts the end of an attempt.
   *
   * @param target the target
   */
  public void onAttemptEnded(TargetId target) {
    own.computeIfPresent(target, (id, count) -> count > 1 ? count - 1 : null);
  }

  /**
   * Replaces the last report of a peer.
   *
   * @param peer the peer
   * @param averages the average number of its requests in flight by target, without those at 0
   * @param now the time at which the report arrived
   */
  public void onPeerReport(InstanceId peer, Map<TargetId, Double> averages, ClockReading now) {
    peerReports.put(peer, new PeerAverages(Map.copyOf(averages), now));
    recomputePeerTotals();
  }

  /**
   * Returns the requests in flight of this instance.
   *
   * @param target the target
   * @return the number of attempts of this instance that have started and not ended
   */
  public int own(TargetId target) {
    return own.getOrDefault(target, 0);
  }

  /**
   * Returns the known requests in flight of all instances.
   *
   * @param target the target
   * @param now the current time
   * @return the count of this instance plus the rounded sum of the peer reports within the age
   *     limit
   */
  public int total(TargetId target, ClockReading now) {
    if (peerReports
        .values()
        .removeIf(r -> now.since(r.receivedAt()).compareTo(MAX_PEER_REPORT_AGE) > 0)) {
      recomputePeerTotals();
    }
    return own(target) + (int) Math.round(peerTotals.getOrDefault(target, 0.0));
  }

  private void recomputePeerTotals() {
    peerTotals.clear();
    for (PeerAverages report : peerReports.values()) {
      report.averages().forEach((id, average) -> peerTotals.merge(id, average, Double::sum));
    }
  }
}
