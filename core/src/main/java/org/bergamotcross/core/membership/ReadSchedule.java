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
   */
  static final int MAX_DELAYED_RANK = 5;

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
    long own = Members.rendezvousWeight(RANKING_KEY, self);
    return (int)
        peers.reachable().stream()
            .filter(peer -> Members.rendezvousWeight(RANKING_KEY, peer) > own)
            .count();
  }

  /**
   * Returns when this instance has to read the directory.
   *
   * @param peers the reachable peers
   * @param lastReadAt when this instance last read the directory or received the result of a read
   * @return the time of the next read
   */
  public ClockReading dueAt(PeerView peers, ClockReading lastReadAt) {
    int steps = Math.min(rank(peers), MAX_DELAYED_RANK);
    return lastReadAt.plus(READ_INTERVAL).plus(RANK_DELAY.multipliedBy(steps));
  }
}
