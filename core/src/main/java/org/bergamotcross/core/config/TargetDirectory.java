package org.bergamotcross.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.bergamotcross.kernel.ClockReading;

/**
 * Merges the records of the target list into the targets that may get requests.
 *
 * <p>The record with the highest offset of a target wins, so records may arrive repeatedly, in any
 * order and from any instance. A record of an earlier start, or an earlier report of the same
 * start, has no effect even if it was written late.
 *
 * <p>The history of the list may be deleted, and the record of a removal with it. A complete list
 * therefore removes the targets that it does not name.
 */
public final class TargetDirectory {
  private record KnownTarget(
      long offset, Optional<TargetEntry> entry, Optional<ClockReading> usableUntil) {
    boolean isUsable(ClockReading now) {
      return entry.filter(e -> !e.draining()).isPresent()
          && usableUntil.map(now::isBefore).orElse(true);
    }
  }

  /** The usable targets, valid until the first grace period ends. */
  private record Usable(List<TargetEntry> entries, Optional<ClockReading> until) {}

  private final Map<TargetId, KnownTarget> known = new HashMap<>();
  // A complete list up to this offset was applied; exclusive.
  private long listedUntil;
  // Most records only show that a target is alive and leave the usable targets as they are.
  private Optional<Usable> cachedUsable = Optional.empty();

  /** Creates an empty directory. */
  public TargetDirectory() {}

  /**
   * Applies a record.
   *
   * @param targetRecord the record
   * @param now the current time
   * @return whether to pass the record on to other instances; false for a mere heartbeat and for a
   *     superseded record
   */
  public boolean apply(TargetChange targetRecord, ClockReading now) {
    KnownTarget previous = known.get(targetRecord.id());
    if (previous == null && targetRecord.offset() < listedUntil) {
      // The complete list did not name the target any more.
      return false;
    }
    if (previous != null && previous.offset() >= targetRecord.offset()) {
      // Another instance may not have the record, even if a peer has sent it to this one.
      return previous.offset() == targetRecord.offset();
    }
    boolean isChange =
        switch (targetRecord) {
          case TargetChange.Published published ->
              publish(published, Optional.ofNullable(previous));
          case TargetChange.Removed removed -> remove(removed, Optional.ofNullable(previous), now);
        };
    if (isChange) {
      cachedUsable = Optional.empty();
    }
    return isChange;
  }

  /**
   * Applies a complete list: the targets that it does not name are removed, unless a record after
   * the end of the list is known of them.
   *
   * @param records the records of all targets that are in the list
   * @param end the offset up to which the list is complete, exclusive
   * @param gracePeriod how long a removed target may still be used
   * @param now the current time
   * @return the targets that were removed because the list does not name them
   */
  public List<TargetId> applyComplete(
      List<TargetChange> records, long end, Duration gracePeriod, ClockReading now) {
    Set<TargetId> named = records.stream().map(TargetChange::id).collect(Collectors.toSet());
    List<TargetChange> removals = new ArrayList<>();
    known.forEach(
        (id, target) -> {
          if (!named.contains(id) && target.usableUntil().isEmpty() && target.offset() < end) {
            long removedAt = Math.max(target.offset() + 1, end - 1);
            removals.add(new TargetChange.Removed(removedAt, id, gracePeriod));
          }
        });
    removals.forEach(removal -> apply(removal, now));
    records.forEach(targetRecord -> apply(targetRecord, now));
    listedUntil = Math.max(listedUntil, end);
    return removals.stream().map(TargetChange::id).toList();
  }

  private boolean publish(TargetChange.Published targetRecord, Optional<KnownTarget> previous) {
    TargetEntry entry = targetRecord.entry();
    Optional<TargetEntry> previousEntry = previous.flatMap(KnownTarget::entry);
    if (previousEntry.filter(e -> isEarlierReport(entry, e)).isPresent()) {
      known.put(
          targetRecord.id(),
          new KnownTarget(
              targetRecord.offset(), previousEntry, previous.flatMap(KnownTarget::usableUntil)));
      return false;
    }
    known.put(
        targetRecord.id(),
        new KnownTarget(targetRecord.offset(), Optional.of(entry), Optional.empty()));
    return previous.flatMap(KnownTarget::usableUntil).isPresent()
        || !previousEntry.filter(e -> differsOnlyInSequence(e, entry)).isPresent();
  }

  private static boolean isEarlierReport(TargetEntry entry, TargetEntry than) {
    long start = entry.startedAtMillis().orElse(0);
    long otherStart = than.startedAtMillis().orElse(0);
    return start < otherStart || (start == otherStart && entry.sequence() < than.sequence());
  }

  private static boolean differsOnlyInSequence(TargetEntry a, TargetEntry b) {
    return a.target().equals(b.target())
        && a.pool().equals(b.pool())
        && a.slots() == b.slots()
        && a.draining() == b.draining()
        && a.startedAtMillis().equals(b.startedAtMillis());
  }

  // Keeps the entry, so that a late record of the same start does not bring the target back.
  private boolean remove(
      TargetChange.Removed targetRecord, Optional<KnownTarget> previous, ClockReading now) {
    ClockReading usableUntil = now.plus(targetRecord.gracePeriod());
    known.put(
        targetRecord.id(),
        new KnownTarget(
            targetRecord.offset(), previous.flatMap(KnownTarget::entry), Optional.of(usableUntil)));
    return previous.filter(b -> b.usableUntil().isEmpty()).isPresent();
  }

  /**
   * Returns the targets that may get requests.
   *
   * <p>Once any entry has a start time, entries without one are ignored, because they come from
   * another writer. Of two targets with the same address, the one that started later is returned.
   *
   * @param now the current time
   * @return the entries, ordered by id
   */
  public List<TargetEntry> usableTargets(ClockReading now) {
    if (cachedUsable.filter(c -> c.until().map(now::isBefore).orElse(true)).isEmpty()) {
      cachedUsable = Optional.of(new Usable(findUsableTargets(now), nextExpiry(now)));
    }
    return cachedUsable.get().entries();
  }

  private List<TargetEntry> findUsableTargets(ClockReading now) {
    boolean haveStartTimes =
        known.values().stream()
            .flatMap(k -> k.entry().stream())
            .anyMatch(entry -> entry.startedAtMillis().isPresent());
    Map<String, TargetEntry> byAddress = new HashMap<>();
    for (KnownTarget candidate : known.values()) {
      TargetEntry entry = candidate.entry().orElse(null);
      if (entry == null
          || !candidate.isUsable(now)
          || (haveStartTimes && entry.startedAtMillis().isEmpty())) {
        continue;
      }
      byAddress.merge(
          entry.target().host() + ":" + entry.target().port(),
          entry,
          (a, b) -> startMillis(a) >= startMillis(b) ? a : b);
    }
    return byAddress.values().stream()
        .sorted(Comparator.comparing(entry -> entry.target().id()))
        .toList();
  }

  private static long startMillis(TargetEntry entry) {
    OptionalLong start = entry.startedAtMillis();
    return start.orElse(0);
  }

  /**
   * Returns when the next grace period of a removed target ends.
   *
   * @param now the current time
   * @return the time; empty when no grace period is running
   */
  public Optional<ClockReading> nextExpiry(ClockReading now) {
    return known.values().stream()
        .flatMap(k -> k.usableUntil().stream())
        .filter(end -> end.isAfter(now))
        .min(Comparator.naturalOrder());
  }

  /**
   * Returns the records from which a new instance can rebuild the directory.
   *
   * @param now the current time
   * @return one record for each target
   */
  public List<TargetChange> toRecords(ClockReading now) {
    List<TargetChange> records = new ArrayList<>();
    known.forEach(
        (id, k) -> {
          if (k.usableUntil().isPresent()) {
            Duration remaining = k.usableUntil().get().since(now);
            records.add(
                new TargetChange.Removed(
                    k.offset(), id, remaining.isNegative() ? Duration.ZERO : remaining));
          } else {
            k.entry().ifPresent(e -> records.add(new TargetChange.Published(k.offset(), e)));
          }
        });
    return records;
  }
}
