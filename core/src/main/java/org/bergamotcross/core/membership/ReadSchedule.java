package org.bergamotcross.core.membership;

import java.time.Duration;
import org.bergamotcross.kernel.ClockReading;

/**
 * Schedules reads of a directory that all instances need and any one of them may read.
 *
 * <p>The first-ranked instance reads at a fixed interval and distributes the result. Any other
 * instance reads by itself when it has received no result for the interval plus one delay for each
 * instance ranked before it. A reader that fails, or that is partitioned from some of the
 * instances, is thus replaced within a few delays, by exactly one other reader in each partition.
 * In a fleet with relays these read first, in the order of the relay plan.
 */
public final class ReadSchedule {
  /**
   * Allows four reads, one of them lost, within the time in which a draining target must be known.
   */
  public static final Duration READ_INTERVAL = Duration.ofMillis(400);

  /** The delay for each preceding rank; longer than a read and the messages about it take. */
  public static final Duration RANK_DELAY = Duration.ofMillis(200);

  /**
   * Ranks above this add no further delay; by then the first readers can't be expected to succeed.
   * Where there are relays, one more delay lets an instance that is none read after all of them.
   */
  static final int MAX_DELAYED_RANK = 5;

  /** The time limit of a long poll, and thus the interval of results without a change. */
  public static final Duration LONG_POLL_TIMEOUT = Duration.ofMillis(800);

  /** Allows for the time that a result takes to the peers before one of them takes over. */
  private static final Duration LONG_POLL_MARGIN = Duration.ofMillis(100);

  /** The delay for each preceding rank until an instance begins a long poll by itself. */
  private static final Duration LONG_POLL_RANK_DELAY = Duration.ofMillis(100);

  private static final String RANKING_KEY = "reading-turn";

  private final InstanceId self;

  /**
   * Creates the schedule of an instance.
   *
   * @param self the local instance
   */
  public ReadSchedule(InstanceId self) {
    this.self = self;
  }

  /**
   * Returns how many of the reachable peers read before this instance.
   *
   * @param peers the reachable peers
   * @return the rank, 0 for the first reader
   */
  public int rank(PeerView peers) {
    return (int) peers.reachable().stream().filter(other -> isPreceding(peers, other)).count();
  }

  /**
   * Returns when this instance has to read the directory.
   *
   * @param peers the reachable peers
   * @param lastReadAt when this instance last read the directory or received the result of a read
   * @return the time of the next read
   */
  public ClockReading dueAt(PeerView peers, ClockReading lastReadAt) {
    return lastReadAt.plus(READ_INTERVAL).plus(RANK_DELAY.multipliedBy(delayedRank(peers)));
  }

  /**
   * Returns when this instance has to begin a long poll.
   *
   * <p>The first-ranked instance polls all the time. Any other one begins when it has received no
   * result for the time limit of a poll plus one delay for each instance ranked before it, and goes
   * on until one of those succeeds. The results of instances ranked after it don't count, so that
   * of two that took over only the first goes on.
   *
   * @param peers the reachable peers
   * @param lastPrecedingResultAt when this instance last received a result from an instance that is
   *     ranked before it
   * @return the time of the next poll
   */
  public ClockReading longPollDueAt(PeerView peers, ClockReading lastPrecedingResultAt) {
    int steps = delayedRank(peers);
    return steps == 0
        ? lastPrecedingResultAt
        : lastPrecedingResultAt
            .plus(LONG_POLL_TIMEOUT)
            .plus(LONG_POLL_MARGIN)
            .plus(LONG_POLL_RANK_DELAY.multipliedBy(steps));
  }

  /**
   * Tells whether an instance is ranked before this one.
   *
   * <p>Relays precede all other instances, since their results reach the fleet with one message
   * less.
   *
   * @param peers the reachable peers and the relays
   * @param other the other instance
   * @return whether it reads before this one
   */
  public boolean isPreceding(PeerView peers, InstanceId other) {
    int ownPrecedence = peers.relays().precedence(self);
    int precedence = peers.relays().precedence(other);
    if (precedence >= 0) {
      return ownPrecedence < 0 || precedence < ownPrecedence;
    }
    return ownPrecedence < 0 && hasHigherWeight(other);
  }

  private boolean hasHigherWeight(InstanceId other) {
    return Members.rendezvousWeight(RANKING_KEY, other)
        > Members.rendezvousWeight(RANKING_KEY, self);
  }

  private int delayedRank(PeerView peers) {
    boolean readsAfterRelays = !peers.relays().isFullMesh() && !peers.relays().contains(self);
    int maxDelayedRank = readsAfterRelays ? MAX_DELAYED_RANK + 1 : MAX_DELAYED_RANK;
    return Math.min(rank(peers), maxDelayedRank);
  }
}
