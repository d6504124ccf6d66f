package org.bergamotcross.core.membership;

import java.time.Duration;
import java.util.Optional;
import org.bergamotcross.kernel.ClockReading;

/**
 * Decides when this instance writes a snapshot to the log.
 *
 * <p>A reader without state needs the latest snapshot and all records after the offset that it
 * covers. The policy requests a new snapshot well before the first of these records expires from
 * the log. Concurrent writers are harmless; ranking them only saves appends.
 */
public final class SnapshotPolicy {
  /** The number of records after which a snapshot is written even if the retention is unknown. */
  public static final long MAX_RECORDS_SINCE_SNAPSHOT = 256;

  /** The age at which a snapshot is replaced, for logs with time-based retention. */
  public static final Duration MAX_SNAPSHOT_AGE = Duration.ofHours(1);

  /** The additional delay of each further writer in rank order. */
  public static final Duration RANK_DELAY = Duration.ofSeconds(5);

  private static final Duration REPEATED_WRITE_DELAY = Duration.ofSeconds(10);

  private long oldestRetained;
  private long snapshotOffset = -1;
  private Optional<ClockReading> snapshotSeenAt = Optional.empty();
  private Optional<ClockReading> dueSince = Optional.empty();
  private Optional<ClockReading> writtenAt = Optional.empty();

  /**
   * Records the retention that a page of the log shows.
   *
   * @param oldest the oldest offset that the log retains
   */
  public void recordOldestRetained(long oldest) {
    oldestRetained = Math.max(oldestRetained, oldest);
  }

  /**
   * Records a snapshot that was read from the log.
   *
   * @param snapshotUpTo the last offset that the snapshot covers
   * @param now the current time
   */
  public void recordSnapshot(long snapshotUpTo, ClockReading now) {
    snapshotOffset = Math.max(snapshotOffset, snapshotUpTo);
    snapshotSeenAt = Optional.of(now);
    dueSince = Optional.empty();
  }

  /**
   * Tells whether to write a snapshot now.
   *
   * @param offset the last folded offset, which is at the head of the log
   * @param rank the rank of this instance among the writers
   * @param now the current time
   * @return whether to write; true again only after a delay
   */
  public boolean isDue(long offset, int rank, ClockReading now) {
    if (snapshotSeenAt.isEmpty()) {
      snapshotSeenAt = Optional.of(now);
    }
    if (!isNeeded(offset, now)) {
      dueSince = Optional.empty();
      return false;
    }
    if (dueSince.isEmpty()) {
      dueSince = Optional.of(now);
    }
    boolean rankDelayElapsed =
        now.since(dueSince.get()).compareTo(RANK_DELAY.multipliedBy(rank)) >= 0;
    boolean repeatDelayElapsed =
        writtenAt.isEmpty() || now.since(writtenAt.get()).compareTo(REPEATED_WRITE_DELAY) >= 0;
    if (rankDelayElapsed && repeatDelayElapsed) {
      writtenAt = Optional.of(now);
      return true;
    }
    return false;
  }

  private boolean isNeeded(long offset, ClockReading now) {
    if (offset < 0) {
      return false;
    }
    long oldestNeeded = snapshotOffset + 1;
    long recordsSinceSnapshot = offset + 1 - oldestNeeded;
    long retainedRecords = offset + 1 - oldestRetained;
    // The other half of the retention is left for the case that several writers fail in
    // succession.
    boolean nearsExpiry =
        oldestRetained > 0 && recordsSinceSnapshot > Math.max(1, retainedRecords / 2);
    boolean tooOld =
        recordsSinceSnapshot > 0
            && now.since(snapshotSeenAt.get()).compareTo(MAX_SNAPSHOT_AGE) >= 0;
    return oldestRetained > oldestNeeded
        || nearsExpiry
        || recordsSinceSnapshot >= MAX_RECORDS_SINCE_SNAPSHOT
        || tooOld;
  }
}
