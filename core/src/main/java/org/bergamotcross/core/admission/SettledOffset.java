package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.kernel.Now;

/**
 * Knows the highest offset that a majority has had for a given time.
 *
 * <p>An instance that lacks such an offset has stopped using its shares and claims, because every
 * majority that it can hear from has a member that is ahead of it.
 */
final class SettledOffset {
  // Later offsets stand for the dropped ones, which only makes the wait longer.
  private static final int MAX_WAITING = 256;

  private static final class Step {
    final long offset;
    Optional<Now> majoritySince = Optional.empty();

    Step(long offset) {
      this.offset = offset;
    }
  }

  private final OffsetQuorum quorum;
  private final Duration wait;
  private final Deque<Step> steps = new ArrayDeque<>();
  // The empty log is settled from the start.
  private long settled = Configuration.EMPTY.offset();

  SettledOffset(OffsetQuorum quorum, Duration wait) {
    this.quorum = quorum;
    this.wait = wait;
  }

  void add(long offset) {
    if (steps.size() >= MAX_WAITING) {
      steps.removeLast();
    }
    steps.addLast(new Step(offset));
  }

  void tick(Now now) {
    for (Step step : steps) {
      if (step.majoritySince.isEmpty() && quorum.has(step.offset)) {
        step.majoritySince = Optional.of(now);
      }
    }
    while (!steps.isEmpty() && isOver(steps.getFirst(), now)) {
      settled = steps.removeFirst().offset;
    }
  }

  private boolean isOver(Step step, Now now) {
    return step.majoritySince.map(since -> !now.isBefore(since.plus(wait))).orElse(false);
  }

  boolean has(long offset) {
    return settled >= offset;
  }
}
