package org.bergamotcross.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.bergamotcross.kernel.Now;

/**
 * Merges the records of the targets' list into the targets that may get work.
 *
 * <p>Of two records of one target the one with the higher offset counts, so records may come twice,
 * in any order and from any instance. A record of an earlier start, or an earlier report of the
 * same start, that was written late changes nothing.
 */
public final class TargetDirectory {
  private record Known(long offset, Optional<TargetEntry> entry, Optional<Now> usedUntil) {
    boolean isUsable(Now now) {
      return entry.filter(e -> !e.draining()).isPresent()
          && usedUntil.map(now::isBefore).orElse(true);
    }
  }

  private final Map<TargetId, Known> known = new HashMap<>();

  /** Creates an empty directory. */
  public TargetDirectory() {}

  /**
   * Takes a record.
   *
   * @param change the record
   * @param now the present time
   * @return whether other instances need to know it: false for a mere sign of life
   */
  public boolean apply(TargetChange change, Now now) {
    Known before = known.get(change.id());
    if (before != null && before.offset() >= change.offset()) {
      return false;
    }
    return switch (change) {
      case TargetChange.Published published -> publish(published, Optional.ofNullable(before));
      case TargetChange.Removed removed -> remove(removed, Optional.ofNullable(before), now);
    };
  }

  private boolean publish(TargetChange.Published change, Optional<Known> before) {
    TargetEntry entry = change.entry();
    Optional<TargetEntry> earlier = before.flatMap(Known::entry);
    if (earlier.filter(e -> isOlder(entry, e)).isPresent()) {
      known.put(change.id(), new Known(change.offset(), earlier, before.flatMap(Known::usedUntil)));
      return false;
    }
    known.put(change.id(), new Known(change.offset(), Optional.of(entry), Optional.empty()));
    return before.flatMap(Known::usedUntil).isPresent()
        || !earlier.filter(e -> isSame(e, entry)).isPresent();
  }

  private static boolean isOlder(TargetEntry entry, TargetEntry than) {
    long start = entry.startedAtMillis().orElse(0);
    long otherStart = than.startedAtMillis().orElse(0);
    return start < otherStart || (start == otherStart && entry.sequence() < than.sequence());
  }

  private static boolean isSame(TargetEntry a, TargetEntry b) {
    return a.target().equals(b.target())
        && a.pool().equals(b.pool())
        && a.slots() == b.slots()
        && a.draining() == b.draining()
        && a.startedAtMillis().equals(b.startedAtMillis());
  }

  // The entry is kept, so that a late record of the same start does not bring the target back.
  private boolean remove(TargetChange.Removed change, Optional<Known> before, Now now) {
    Now usedUntil = now.plus(change.patience());
    known.put(
        change.id(),
        new Known(change.offset(), before.flatMap(Known::entry), Optional.of(usedUntil)));
    return before.filter(b -> b.usedUntil().isEmpty()).isPresent();
  }

  /**
   * Returns the targets that may get work.
   *
   * <p>Once any entry names its start, entries without one come from another writer. Of two targets
   * with one address the one that started later has it now.
   *
   * @param now the present time
   * @return the entries, ordered by id
   */
  public List<TargetEntry> usable(Now now) {
    boolean startsAreNamed =
        known.values().stream()
            .flatMap(k -> k.entry().stream())
            .anyMatch(entry -> entry.startedAtMillis().isPresent());
    Map<String, TargetEntry> byAddress = new HashMap<>();
    for (Known candidate : known.values()) {
      TargetEntry entry = candidate.entry().orElse(null);
      if (entry == null
          || !candidate.isUsable(now)
          || (startsAreNamed && entry.startedAtMillis().isEmpty())) {
        continue;
      }
      byAddress.merge(
          entry.target().host() + ":" + entry.target().port(),
          entry,
          (a, b) -> start(a) >= start(b) ? a : b);
    }
    return byAddress.values().stream()
        .sorted(Comparator.comparing(entry -> entry.target().id()))
        .toList();
  }

  private static long start(TargetEntry entry) {
    OptionalLong start = entry.startedAtMillis();
    return start.orElse(0);
  }

  /**
   * Returns when the next target that was removed with patience must get no more work.
   *
   * @param now the present time
   * @return the time, or nothing when there is none
   */
  public Optional<Now> nextEnd(Now now) {
    return known.values().stream()
        .flatMap(k -> k.usedUntil().stream())
        .filter(end -> end.isAfter(now))
        .min(Comparator.naturalOrder());
  }

  /**
   * Returns the records that make up the directory, for an instance that knows none.
   *
   * @param now the present time
   * @return one record for each target
   */
  public List<TargetChange> records(Now now) {
    List<TargetChange> records = new ArrayList<>();
    known.forEach(
        (id, k) -> {
          if (k.usedUntil().isPresent()) {
            Duration rest = k.usedUntil().get().since(now);
            records.add(
                new TargetChange.Removed(k.offset(), id, rest.isNegative() ? Duration.ZERO : rest));
          } else {
            k.entry().ifPresent(e -> records.add(new TargetChange.Published(k.offset(), e)));
          }
        });
    return records;
  }
}
