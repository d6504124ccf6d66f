package org.bergamotcross.core.membership;

import java.time.Duration;
import java.util.Optional;
import org.bergamotcross.kernel.Now;

/**
 * Decides when this instance writes a snapshot to the log.
 *
 * <p>A reader without memory needs the latest snapshot and all records after the offset up to which
 * it was folded. The policy has a new snapshot written well before the first of these leaves the
 * retention. Two writers do no harm, so the ranks only save appends.
 */
public final class SnapshotPolicy {
  /** The number of records after which a snapshot is written even if the retention is unknown. */
  public static final long MAX_RECORDS = 256;

  /** The time after which a snapshot is repeated, for a retention that counts time. */
  public static final Duration MAX_AGE = Duration.ofHours(1);

  /** How much longer each following writer waits. */
  public static final Duration RANK_DELAY = Duration.ofSeconds(5);

  private static final Duration REPEAT_DELAY = Duration.ofSeconds(10);

  private long earliest;
  private long upTo = -1;
  private Optional<Now> seenAt = Optional.empty();
  private Optional<Now> dueSince = Optional.empty();
  private Optional<Now> writtenAt = Optional.empty();

  /**
   * Takes what a page shows of the retention.
   *
   * @param oldest the oldest offset that the log retains
   */
  public void retained(long oldest) {
    earliest = Math.max(earliest, oldest);
  }

  /**
   * Takes a snapshot that stands in the log.
   *
   * @param snapshotUpTo the offset up to which it was folded
   * @param now the present time
   */
  public void snapshotSeen(long snapshotUpTo, Now now) {
    upTo = Math.max(upTo, snapshotUpTo);
    seenAt = Optional.of(now);
    dueSince = Optional.empty();
  }

  /**
   * Decides whether to write a snapshot now.
   *
   * @param offset the folded offset, which is at the head of the log
   * @param rank the place of this instance among the writers
   * @param now the present time
   * @return whether to write; a further snapshot is due only after a delay
   */
  public boolean isDue(long offset, int rank, Now now) {
    if (seenAt.isEmpty()) {
      seenAt = Optional.of(now);
    }
    if (!isNeeded(offset, now)) {
      dueSince = Optional.empty();
      return false;
    }
    if (dueSince.isEmpty()) {
      dueSince = Optional.of(now);
    }
    boolean turn = now.since(dueSince.get()).compareTo(RANK_DELAY.multipliedBy(rank)) >= 0;
    boolean apart = writtenAt.isEmpty() || now.since(writtenAt.get()).compareTo(REPEAT_DELAY) >= 0;
    if (turn && apart) {
      writtenAt = Optional.of(now);
      return true;
    }
    return false;
  }

  private boolean isNeeded(long offset, Now now) {
    if (offset < 0) {
      return false;
    }
    long oldestNeeded = upTo + 1;
    long needed = offset + 1 - oldestNeeded;
    long retained = offset + 1 - earliest;
    // Half of the retention is left for the case that several writers fail one after the other.
    boolean closing = earliest > 0 && needed > Math.max(1, retained / 2);
    boolean old = needed > 0 && now.since(seenAt.get()).compareTo(MAX_AGE) >= 0;
    return earliest > oldestNeeded || closing || needed >= MAX_RECORDS || old;
  }
}
