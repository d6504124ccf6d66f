package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bergamotcross.kernel.Now;

/**
 * The holder sets of one organisation whose claims can still matter, the present one last.
 *
 * <p>A set that ended long enough ago is left out: its claims are over.
 */
final class HolderHistory {
  private static final int MAX_SETS = 64;

  private static final class Step {
    // Nothing stands for the sets before this instance knew the members.
    final Optional<HolderSet> set;
    long endOffset = Long.MAX_VALUE;
    Optional<Now> endedAt = Optional.empty();

    Step(Optional<HolderSet> set) {
      this.set = set;
    }
  }

  private final Duration window;
  private final List<Step> steps = new ArrayList<>();

  /** Starts with a first set; {@code based} says that nothing was claimed before it. */
  HolderHistory(HolderSet first, boolean based, long offset, Duration window) {
    this.window = window;
    if (!based) {
      steps.add(new Step(Optional.empty()));
    }
    append(first, offset);
  }

  /** Appends a set that begins at an offset. */
  void append(HolderSet set, long offset) {
    if (!steps.isEmpty()) {
      steps.getLast().endOffset = offset;
    }
    steps.add(new Step(Optional.of(set)));
    while (steps.size() > MAX_SETS) {
      Step unknown = new Step(Optional.empty());
      unknown.endOffset = steps.get(1).endOffset;
      steps.subList(0, 2).clear();
      steps.addFirst(unknown);
    }
  }

  /** Forgets what came before, because records were missed. */
  void appendAfterGap(HolderSet set, long offset) {
    steps.clear();
    steps.add(new Step(Optional.empty()));
    append(set, offset);
  }

  /** Leaves out all sets but the present one, because their claims are known. */
  void collapse() {
    steps.subList(0, steps.size() - 1).clear();
  }

  /** Leaves out the sets whose last claims are over. */
  void tick(SettledOffset settled, Now now) {
    for (Step step : steps) {
      if (step.endedAt.isEmpty() && settled.has(step.endOffset)) {
        step.endedAt = Optional.of(now);
      }
    }
    steps.removeIf(
        step -> step.endedAt.map(ended -> !now.isBefore(ended.plus(window))).orElse(false));
  }

  boolean isBased() {
    return steps.getFirst().set.isPresent();
  }

  HolderSet present() {
    return steps.getLast().set.orElseThrow();
  }

  List<HolderSet> sets() {
    return steps.stream().flatMap(step -> step.set.stream()).toList();
  }
}
