package org.bergamotcross.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One attempt of a holder to learn the claims that earlier holder sets granted.
 *
 * <p>It is complete when, for a history that begins with nothing unknown before it, every earlier
 * set has answered with so many members that any majority of it is among them.
 */
final class ClaimSyncRound {
  private record History(HolderSet.Holder source, List<HolderSet> sets) {}

  private final long round;
  private final Map<HolderSet.Holder, String> nextKey = new HashMap<>();
  private final Set<HolderSet.Holder> complete = new HashSet<>();
  private final List<History> histories = new ArrayList<>();
  private final Set<HolderSet.Holder> sources = new LinkedHashSet<>();

  /** Starts with the own history; {@code others} are asked too, because they may know more. */
  ClaimSyncRound(
      long round, HolderSet.Holder self, HolderHistory own, List<HolderSet.Holder> others) {
    this.round = round;
    sources.addAll(others);
    complete.add(self);
    learn(self, own.isBased(), own.sets());
  }

  long round() {
    return round;
  }

  private void learn(HolderSet.Holder source, boolean based, List<HolderSet> sets) {
    sets.forEach(set -> sources.addAll(set.holders()));
    if (based) {
      histories.add(new History(source, sets));
    }
  }

  /** Returns the processes that have not answered in full, with the key to go on after. */
  Map<HolderSet.Holder, String> open() {
    Map<HolderSet.Holder, String> open = new HashMap<>();
    for (HolderSet.Holder source : sources) {
      if (!complete.contains(source)) {
        open.put(source, nextKey.getOrDefault(source, ""));
      }
    }
    return open;
  }

  /** Tells whether a page is the next one of its sender. */
  boolean expects(HolderSet.Holder source, ClaimSyncAnswer answer) {
    return answer.round() == round
        && !complete.contains(source)
        && nextKey.getOrDefault(source, "").equals(answer.afterKey());
  }

  /** Notes a page whose claims have been merged. */
  void merged(HolderSet.Holder source, ClaimSyncAnswer answer) {
    if (answer.last()) {
      complete.add(source);
      learn(source, answer.based(), answer.sets());
    } else {
      nextKey.put(source, answer.claims().getLast().key());
    }
  }

  boolean isComplete() {
    return histories.stream().anyMatch(this::isCovered);
  }

  private boolean isCovered(History history) {
    List<HolderSet> earlier = history.sets().subList(0, history.sets().size() - 1);
    return complete.contains(history.source())
        && earlier.stream().allMatch(set -> answered(set) >= set.readQuorum());
  }

  private long answered(HolderSet set) {
    return set.holders().stream().filter(complete::contains).count();
  }
}
