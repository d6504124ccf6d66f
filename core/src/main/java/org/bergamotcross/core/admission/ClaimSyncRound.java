package org.bergamotcross.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One round in which a holder copies the claims granted by earlier holder sets.
 *
 * <p>It is complete when, for some history with a known start, a read quorum of every earlier set
 * has sent all its claims, so that the received claims include every one that a majority granted.
 */
final class ClaimSyncRound {
  private record History(HolderSet.Holder source, List<HolderSet> sets) {}

  private final long round;
  private final Map<HolderSet.Holder, String> resumeAfterKey = new HashMap<>();
  private final Set<HolderSet.Holder> completeSources = new HashSet<>();
  private final List<History> histories = new ArrayList<>();
  private final Set<HolderSet.Holder> sources = new LinkedHashSet<>();

  /**
   * Starts from this process's own history; {@code others} are asked too, as they may know more.
   */
  ClaimSyncRound(
      long round, HolderSet.Holder self, HolderHistory own, List<HolderSet.Holder> others) {
    this.round = round;
    sources.addAll(others);
    completeSources.add(self);
    addHistory(self, own.hasKnownStart(), own.sets());
  }

  long round() {
    return round;
  }

  private void addHistory(HolderSet.Holder source, boolean knownStart, List<HolderSet> sets) {
    sets.forEach(set -> sources.addAll(set.holders()));
    if (knownStart) {
      histories.add(new History(source, sets));
    }
  }

  /** Returns the processes that still owe pages, each with the key after which to continue. */
  Map<HolderSet.Holder, String> missingPages() {
    Map<HolderSet.Holder, String> open = new HashMap<>();
    for (HolderSet.Holder source : sources) {
      if (!completeSources.contains(source)) {
        open.put(source, resumeAfterKey.getOrDefault(source, ""));
      }
    }
    return open;
  }

  /** Returns whether a page is the next one expected from its sender. */
  boolean expects(HolderSet.Holder source, ClaimSyncResponse page) {
    return page.round() == round
        && !completeSources.contains(source)
        && resumeAfterKey.getOrDefault(source, "").equals(page.afterKey());
  }

  /** Records that the claims of a page have been merged. */
  void recordMerged(HolderSet.Holder source, ClaimSyncResponse page) {
    if (page.last()) {
      completeSources.add(source);
      addHistory(source, page.based(), page.sets());
    } else {
      resumeAfterKey.put(source, page.claims().getLast().key());
    }
  }

  boolean isComplete() {
    return histories.stream().anyMatch(this::isCovered);
  }

  private boolean isCovered(History history) {
    List<HolderSet> earlier = history.sets().subList(0, history.sets().size() - 1);
    return completeSources.contains(history.source())
        && earlier.stream().allMatch(set -> completeCount(set) >= set.readQuorum());
  }

  private long completeCount(HolderSet set) {
    return set.holders().stream().filter(completeSources::contains).count();
  }
}
