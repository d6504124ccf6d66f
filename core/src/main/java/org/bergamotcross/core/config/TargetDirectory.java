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
import java.util.stream.Stream;
import org.bergamotcross.kernel.ClockReading;

/**
 * Merges the records of the target list into the targets that may get requests.
 *
 * <p>The record at the latest position of a target wins, so records may arrive repeatedly, in any
 * order and from any instance. A record of an earlier start, or an earlier report of the same
 * start, has no effect even if it was written late.
 *
 * <p>The history of the list may be deleted, and the record of a removal with it. A complete list
 * therefore removes the targets that it does not name.
 *
 * <p>The list may be restored from an older copy, which begins a new era. A restored entry of a
 * target that was removed in an earlier era does not bring it back; only a later report does.
 */
public final class TargetDirectory {
  /**
   * A removal.
   *
   * @param era the era in which the target was removed
   * @param usableUntil when the grace period ends
   */
  private record Removal(long era, ClockReading usableUntil) {}

  /**
   * The state of a target.
   *
   * @param position the position of its latest record
   * @param entry the entry with the latest report; empty if only a removal is known
   * @param lastReport the latest report; empty if unknown
   * @param removal the removal; empty while the target is listed
   */
  private record KnownTarget(
      CatalogPosition position,
      Optional<TargetEntry> entry,
      Optional<TargetReport> lastReport,
      Optional<Removal> removal) {
    boolean isUsable(ClockReading now) {
      return entry.filter(e -> !e.draining()).isPresent()
          && removal.map(r -> now.isBefore(r.usableUntil())).orElse(true);
    }

    /** Tells whether an entry has no effect because this state is based on a later report. */
    boolean supersedes(TargetChange.Published published) {
      // The entry that was known before a removal in an earlier era may be restored.
      boolean isRemovedBefore =
          removal.filter(r -> r.era() < published.position().era()).isPresent();
      return lastReport
          .map(known -> published.entry().report().compareTo(known))
          .filter(order -> isRemovedBefore ? order <= 0 : order < 0)
          .isPresent();
    }

    KnownTarget at(CatalogPosition newPosition) {
      return new KnownTarget(newPosition, entry, lastReport, removal);
    }
  }

  /** The usable targets, valid until the first grace period ends. */
  private record Usable(List<TargetEntry> entries, Optional<ClockReading> until) {}

  private final Map<TargetId, KnownTarget> known = new HashMap<>();
  // A complete list up to this position was applied; exclusive.
  private CatalogPosition listedUntil = CatalogPosition.START;
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
    if (targetRecord instanceof TargetChange.Published
        && targetRecord.position().era() < listedUntil.era()) {
      return false;
    }
    KnownTarget previous = known.get(targetRecord.id());
    if (previous == null && targetRecord.position().isBefore(listedUntil)) {
      // The complete list did not name the target any more.
      return false;
    }
    if (previous != null && !previous.position().isBefore(targetRecord.position())) {
      // Another instance may not have the record, even if a peer has sent it to this one.
      return previous.position().equals(targetRecord.position());
    }
    boolean isChange =
        switch (targetRecord) {
          case TargetChange.Published published ->
              publish(published, Optional.ofNullable(previous));
          case TargetChange.Removed removed -> remove(removed, Optional.ofNullable(previous), now);
        };
    if (isChange || targetRecord instanceof TargetChange.Removed) {
      cachedUsable = Optional.empty();
    }
    return isChange;
  }

  /**
   * Applies a complete list: the targets that it does not name are removed, unless a record after
   * the end of the list is known of them.
   *
   * @param records the records of all targets that are in the list
   * @param end the position up to which the list is complete, exclusive; a list of an earlier era
   *     than the last one has no effect
   * @param gracePeriod how long a removed target may still be used
   * @param now the current time
   * @return the targets that were removed because the list does not name them
   */
  public List<TargetId> applyComplete(
      List<TargetChange> records, CatalogPosition end, Duration gracePeriod, ClockReading now) {
    if (end.era() < listedUntil.era()) {
      return List.of();
    }
    Set<TargetId> named = records.stream().map(TargetChange::id).collect(Collectors.toSet());
    List<TargetChange> removals = new ArrayList<>();
    known.forEach(
        (id, target) -> {
          if (!named.contains(id)
              && target.removal().isEmpty()
              && target.position().isBefore(end)) {
            removals.add(
                new TargetChange.Removed(
                    CatalogPosition.latest(
                        target.position().next(), new CatalogPosition(end.era(), end.offset() - 1)),
                    id,
                    gracePeriod));
          }
        });
    removals.forEach(removal -> apply(removal, now));
    records.forEach(targetRecord -> apply(targetRecord, now));
    listedUntil = CatalogPosition.latest(listedUntil, end);
    return removals.stream().map(TargetChange::id).toList();
  }

  private boolean publish(TargetChange.Published targetRecord, Optional<KnownTarget> previous) {
    if (previous.filter(p -> p.supersedes(targetRecord)).isPresent()) {
      known.put(targetRecord.id(), previous.get().at(targetRecord.position()));
      return false;
    }
    TargetEntry entry = targetRecord.entry();
    known.put(
        targetRecord.id(),
        new KnownTarget(
            targetRecord.position(),
            Optional.of(entry),
            Optional.of(entry.report()),
            Optional.empty()));
    return previous.flatMap(KnownTarget::removal).isPresent()
        || isFirstAfterRestore(targetRecord, previous)
        || !previous
            .flatMap(KnownTarget::entry)
            .filter(e -> differsOnlyInSequence(e, entry))
            .isPresent();
  }

  /**
   * Tells whether a record is the first of its target after a complete list. Other instances may
   * have ignored the restored entry in that list, so they need the first later report. A list
   * without eras is never restored.
   */
  private boolean isFirstAfterRestore(
      TargetChange.Published targetRecord, Optional<KnownTarget> previous) {
    return listedUntil.era() > 0
        && previous.filter(p -> p.position().isBefore(listedUntil)).isPresent()
        && !targetRecord.position().isBefore(listedUntil);
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
    ClockReading graceEnd = now.plus(targetRecord.gracePeriod());
    // A repeated removal, as after a restore, does not make an unusable target usable again.
    ClockReading usableUntil =
        previous
            .flatMap(KnownTarget::removal)
            .map(Removal::usableUntil)
            .filter(end -> end.isBefore(graceEnd))
            .orElse(graceEnd);
    Optional<TargetReport> lastReport =
        Stream.concat(
                previous.flatMap(KnownTarget::lastReport).stream(),
                targetRecord.lastReport().stream())
            .max(Comparator.naturalOrder());
    known.put(
        targetRecord.id(),
        new KnownTarget(
            targetRecord.position(),
            previous.flatMap(KnownTarget::entry),
            lastReport,
            Optional.of(new Removal(targetRecord.position().era(), usableUntil))));
    // Other instances may have taken the target as live from the list of this era.
    return previous
        .filter(p -> p.removal().map(r -> r.era() < targetRecord.position().era()).orElse(true))
        .isPresent();
  }

  /**
   * Adds the last report that is known of a target to its removal, for other instances that have
   * not received all reports.
   *
   * @param removal the removal
   * @return the removal with the last report
   */
  public TargetChange.Removed withLastReport(TargetChange.Removed removal) {
    return new TargetChange.Removed(
        removal.position(),
        removal.id(),
        removal.gracePeriod(),
        Optional.ofNullable(known.get(removal.id()))
            .flatMap(KnownTarget::lastReport)
            .or(removal::lastReport));
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
        .flatMap(k -> k.removal().stream())
        .map(Removal::usableUntil)
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
          if (k.removal().isPresent()) {
            Duration remaining = k.removal().get().usableUntil().since(now);
            records.add(
                new TargetChange.Removed(
                    k.position(),
                    id,
                    remaining.isNegative() ? Duration.ZERO : remaining,
                    k.lastReport()));
          } else {
            k.entry().ifPresent(e -> records.add(new TargetChange.Published(k.position(), e)));
          }
        });
    return records;
  }
}
