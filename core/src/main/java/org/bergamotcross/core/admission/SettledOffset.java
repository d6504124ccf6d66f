package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.kernel.ClockReading;

/**
 * Tracks the highest log offset that a majority has had for the settling time.
 *
 * <p>An instance that lacks a settled offset has stopped serving tokens and claims, because every
 * majority that could confirm its configuration includes a member that is ahead of it.
 */
final class SettledOffset {
  // Beyond this, a later offset replaces the last pending one, which only prolongs the wait.
  private static final int MAX_PENDING_OFFSETS = 256;

  private static final class PendingOffset {
    final long offset;
    Optional<ClockReading> majoritySince = Optional.empty();

    PendingOffset(long offset) {
      this.offset = offset;
    }
  }

  private final OffsetQuorum quorum;
  private final Duration settlingTime;
  private final Deque<PendingOffset> pendingOffsets = new ArrayDeque<>();
  // The offset of the empty log is settled from the start.
  private long settled = Configuration.EMPTY.offset();

  SettledOffset(OffsetQuorum quorum, Duration wait) {
    this.quorum = quorum;
    this.settlingTime = wait;
  }

  void addOffset(long offset) {
    if (pendingOffsets.size() >= MAX_PENDING_OFFSETS) {
      pendingOffsets.removeLast();
    }
    pendingOffsets.addLast(new PendingOffset(offset));
  }

  void tick(ClockReading now) {
    for (PendingOffset pending : pendingOffsets) {
      if (pending.majoritySince.isEmpty() && quorum.hasMajority(pending.offset)) {
        pending.majoritySince = Optional.of(now);
      }
    }
    while (!pendingOffsets.isEmpty() && hasSettlingTimePassed(pendingOffsets.getFirst(), now)) {
      settled = pendingOffsets.removeFirst().offset;
    }
  }

  private boolean hasSettlingTimePassed(PendingOffset pending, ClockReading now) {
    return pending
        .majoritySince
        .map(since -> !now.isBefore(since.plus(settlingTime)))
        .orElse(false);
  }

  boolean isSettled(long offset) {
    return settled >= offset;
  }
}
