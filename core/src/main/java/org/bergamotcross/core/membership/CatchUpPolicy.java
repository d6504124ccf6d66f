package org.bergamotcross.core.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.kernel.Now;

/** Decides which peer to ask for records or for a snapshot when it is ahead. */
public final class CatchUpPolicy {
  // The log usually delivers a record to all readers within this time, so that most need no peer.
  private static final Duration GRACE = Duration.ofMillis(200);
  private static final Duration ANSWER_LIMIT = Duration.ofMillis(500);

  /** What to ask for. */
  public sealed interface Ask {

    /**
     * Asks for the records after the own offset.
     *
     * @param peer the peer
     */
    record ForRecords(InstanceId peer) implements Ask {}

    /**
     * Asks for the whole state, because the peer no longer has the records.
     *
     * @param peer the peer
     */
    record ForSnapshot(InstanceId peer) implements Ask {}
  }

  private final Map<InstanceId, Long> offsets = new HashMap<>();
  private final Set<InstanceId> withoutRecords = new HashSet<>();
  private Optional<Now> behindSince = Optional.empty();
  private Optional<Now> askedAt = Optional.empty();
  private long lastOffset = -1;
  private int attempts;

  /**
   * Takes the offset of a peer.
   *
   * @param peer the peer
   * @param offset the offset that it has folded
   */
  public void echoed(InstanceId peer, long offset) {
    offsets.put(peer, offset);
  }

  /**
   * Forgets all other peers than those that still answer.
   *
   * @param peers the peers
   */
  public void retain(Set<InstanceId> peers) {
    offsets.keySet().retainAll(peers);
  }

  /**
   * Takes an answer.
   *
   * @param peer the peer
   * @param progress whether the answer brought the state forward; if so the next ask need not wait,
   *     otherwise the peer is asked for a snapshot
   */
  public void answered(InstanceId peer, boolean progress) {
    if (progress) {
      askedAt = Optional.empty();
    } else {
      withoutRecords.add(peer);
    }
  }

  /**
   * Decides whom to ask for what.
   *
   * @param offset the folded offset
   * @param now the present time
   * @return what to ask for; nothing when no peer is ahead or an answer is still expected
   */
  public Optional<Ask> next(long offset, Now now) {
    if (offset > lastOffset) {
      lastOffset = offset;
      attempts = 0;
      withoutRecords.clear();
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
    boolean waits = askedAt.isPresent() && now.since(askedAt.get()).compareTo(ANSWER_LIMIT) < 0;
    if (waits || now.since(behindSince.get()).compareTo(GRACE) < 0) {
      return Optional.empty();
    }
    askedAt = Optional.of(now);
    InstanceId peer = ahead.get(attempts++ % ahead.size());
    return Optional.of(
        withoutRecords.contains(peer) ? new Ask.ForSnapshot(peer) : new Ask.ForRecords(peer));
  }
}
