package org.bergamotcross.core.membership;

import java.time.Duration;
import org.bergamotcross.kernel.Now;

/**
 * Decides when an instance reads a list that all instances need and any of them may read.
 *
 * <p>The instance with the highest rank reads at a fixed interval and tells the others. Each of
 * them reads by itself when it has heard nothing for the interval and a further step for each
 * instance of a higher rank, so that a reader that fails, or that is cut off from some, is replaced
 * within a few steps by exactly one other in each part of the fleet.
 */
public final class ReadingTurn {
  /** Four reads fit into the time within which a draining target must be known, with one lost. */
  public static final Duration INTERVAL = Duration.ofMillis(400);

  /** Longer than a read and the messages about it take. */
  public static final Duration STEP = Duration.ofMillis(200);

  /** Later ranks do not wait longer; by then the first ones can't be expected to succeed. */
  static final int LAST_STEP = 5;

  private static final String KEY = "reading-turn";

  private final InstanceId self;

  /**
   * Creates the turn of an instance.
   *
   * @param self the own instance
   */
  public ReadingTurn(InstanceId self) {
    this.self = self;
  }

  /**
   * Returns how many of the heard instances read before this one.
   *
   * @param peers the peers
   * @return the rank, 0 for the first reader
   */
  public int rank(PeerView peers) {
    long own = Members.weight(KEY, self);
    return (int) peers.heard().stream().filter(peer -> Members.weight(KEY, peer) > own).count();
  }

  /**
   * Returns when this instance shall read.
   *
   * @param peers the peers
   * @param lastNews when the list was last read by this instance, or news of a read arrived
   * @return the time
   */
  public Now due(PeerView peers, Now lastNews) {
    int steps = Math.min(rank(peers), LAST_STEP);
    return lastNews.plus(INTERVAL).plus(STEP.multipliedBy(steps));
  }
}
