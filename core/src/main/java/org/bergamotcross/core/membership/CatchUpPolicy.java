package org.bergamotcross.core.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.kernel.ClockReading;

/**
 * Chooses a peer that is ahead in the log, and whether to request records or a snapshot from it.
 */
public final class CatchUpPolicy {
  // The log usually delivers a record to all readers within this time, which makes most peer
  // requests unnecessary.
  private static final Duration PEER_REQUEST_DELAY = Duration.ofMillis(200);
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);

  /** A request to a peer. */
  public sealed interface Request {

    /**
     * Requests the records after the local log offset.
     *
     * @param peer the peer
     */
    record ForRecords(InstanceId peer) implements Request {}

    /**
     * Requests the whole folded state because the peer no longer retains the records.
     *
     * @param peer the peer
     */
    record ForSnapshot(InstanceId peer) implements Request {}
  }

  private final Map<InstanceId, Long> offsets = new HashMap<>();
  private final Set<InstanceId> peersLackingRecords = new HashSet<>();
  private Optional<ClockReading> behindSince = Optional.empty();
  private Optional<ClockReading> requestedAt = Optional.empty();
  private long highestOffset = -1;
  private int attempts;

  /**
   * Records the log offset that a peer has reported.
   *
   * @param peer the peer
   * @param offset the last offset that the peer has folded
   */
  public void recordOffset(InstanceId peer, long offset) {
    offsets.put(peer, offset);
  }

  /**
   * Removes the offsets of all peers that no longer answer.
   *
   * @param peers the peers that still answer
   */
  public void retainPeers(Set<InstanceId> peers) {
    offsets.keySet().retainAll(peers);
  }

  /**
   * Records the response to a request.
   *
   * @param peer the peer
   * @param progress whether the response advanced the local state; if so the next request is sent
   *     without waiting, otherwise the next request to this peer is for a snapshot
   */
  public void recordResponse(InstanceId peer, boolean progress) {
    if (progress) {
      requestedAt = Optional.empty();
    } else {
      peersLackingRecords.add(peer);
    }
  }

  /**
   * Decides which peer to send a request to, and which kind.
   *
   * @param offset the last offset that was folded locally
   * @param now the current time
   * @return the request; empty when no peer is ahead, the log still has time to deliver the record,
   *     or a response is outstanding
   */
  public Optional<Request> nextRequest(long offset, ClockReading now) {
    if (offset > highestOffset) {
      highestOffset = offset;
      attempts = 0;
      peersLackingRecords.clear();
    }
    List<InstanceId> ahead =
        offsets.entrySet().stream()
            .filter(entry -> entry.getValue() > offset)
            .sorted(
                Map.Entry.<InstanceId, Long>comparingByValue(Comparator.reverseOrder())
                    .thenComparing(Map.Entry.comparingByKey()))
            .map(Map.Entry::getKey)
            .toList();
    if (ahead.isEmpty()) {
      behindSince = Optional.empty();
      return Optional.empty();
    }
    if (behindSince.isEmpty()) {
      behindSince = Optional.of(now);
    }
    boolean awaitsAnswer =
        requestedAt.isPresent() && now.since(requestedAt.get()).compareTo(ANSWER_TIMEOUT) < 0;
    if (awaitsAnswer || now.since(behindSince.get()).compareTo(PEER_REQUEST_DELAY) < 0) {
      return Optional.empty();
    }
    requestedAt = Optional.of(now);
    InstanceId peer = ahead.get(attempts++ % ahead.size());
    return Optional.of(
        peersLackingRecords.contains(peer)
            ? new Request.ForSnapshot(peer)
            : new Request.ForRecords(peer));
  }
}
