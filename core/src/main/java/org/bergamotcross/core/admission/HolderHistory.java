package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bergamotcross.kernel.ClockReading;

/**
 * The holder sets of one organisation whose claims may still be live, ending with the current set.
 *
 * <p>A set is dropped once all its claims have expired.
 */
final class HolderHistory {
  private static final int MAX_SETS = 64;

  private static final class Period {
    // Empty for the unknown sets from before this instance knew the members.
    final Optional<HolderSet> set;
    long endOffset = Long.MAX_VALUE;
    Optional<ClockReading> endedAt = Optional.empty();

    Period(Optional<HolderSet> set) {
      this.set = set;
    }
  }

  private final Duration claimWindow;
  private final List<Period> periods = new ArrayList<>();

  /** Starts with a first set; {@code knownStart} says that no claims from before it are live. */
  HolderHistory(HolderSet first, boolean knownStart, long offset, Duration window) {
    this.claimWindow = window;
    if (!knownStart) {
      periods.add(new Period(Optional.empty()));
    }
    append(first, offset);
  }

  /** Appends a set that is in force from {@code offset} on. */
  void append(HolderSet set, long offset) {
    if (!periods.isEmpty()) {
      periods.getLast().endOffset = offset;
    }
    periods.add(new Period(Optional.of(set)));
    while (periods.size() > MAX_SETS) {
      Period unknown = new Period(Optional.empty());
      unknown.endOffset = periods.get(1).endOffset;
      periods.subList(0, 2).clear();
      periods.addFirst(unknown);
    }
  }

  /** Replaces the history by an unknown start and {@code set}, because log records were missed. */
  void appendAfterGap(HolderSet set, long offset) {
    periods.clear();
    periods.add(new Period(Optional.empty()));
    append(set, offset);
  }

  /** Drops all sets but the current one, once their claims are known here. */
  void dropEarlierSets() {
    periods.subList(0, periods.size() - 1).clear();
  }

  /** Drops the sets whose last claims have expired. */
  void expireSets(SettledOffset settled, ClockReading now) {
    for (Period period : periods) {
      if (period.endedAt.isEmpty() && settled.isSettled(period.endOffset)) {
        period.endedAt = Optional.of(now);
      }
    }
    periods.removeIf(
        period ->
            period.endedAt.map(ended -> !now.isBefore(ended.plus(claimWindow))).orElse(false));
  }

  boolean hasKnownStart() {
    return periods.getFirst().set.isPresent();
  }

  HolderSet current() {
    return periods.getLast().set.orElseThrow();
  }

  List<HolderSet> sets() {
    return periods.stream().flatMap(period -> period.set.stream()).toList();
  }
}
