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
  static final Duration MAX_PEER_REPORT_AGE = Duration.ofMillis(100);

  private record PeerAverages(Map<TargetId, Double> averages, Now receivedAt) {}

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
   * Replaces what a peer told.
   *
   * @param peer the peer
   * @param averages the average number of its requests in flight by target, without those at 0
   * @param now the time at which the report arrived
   */
  public void onPeerReport(InstanceId peer, Map<TargetId, Double> averages, Now now) {
    peerReports.put(peer, new PeerAverages(Map.copyOf(averages), now));
    recomputePeerTotals();
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
  public int total(TargetId target, Now now) {
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
