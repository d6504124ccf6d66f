package org.bergamotcross.entry.catalog;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.bergamotcross.core.config.CatalogPosition;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetChange;
import org.bergamotcross.core.config.TargetEntry;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.entry.CatalogSource;

/** A store with a log of target records, a log of settings versions and a directory. */
final class SimulatedStore {
  static final PoolId POOL = new PoolId("orders");

  static TargetChange target(CatalogPosition position, String id, boolean draining, long sequence) {
    return new TargetChange.Published(
        position,
        new TargetEntry(
            new Target(new TargetId(id), "10.0.0.1", id.hashCode() & 0xfff, new FailureDomain("a")),
            POOL,
            4,
            draining,
            OptionalLong.of(1),
            sequence));
  }

  final List<TargetChange> records = new ArrayList<>();
  final List<String> versions = new ArrayList<>();
  final Set<Integer> rejectedInstances = new HashSet<>();
  final Set<Integer> unansweredInstances = new HashSet<>();
  final Map<InstanceId, Member> directory = new TreeMap<>();
  boolean down;
  int targetReads;
  int settingsReads;
  int firstRetained;
  long era;

  /** Returns the store as of an earlier time, in the next era. */
  void restore(int keptRecords, int keptVersions) {
    records.subList(keptRecords, records.size()).clear();
    versions.subList(keptVersions, versions.size()).clear();
    directory.clear();
    firstRetained = Math.min(firstRetained, keptRecords);
    era++;
    records.replaceAll(this::ofThisEra);
  }

  CatalogPosition end() {
    return new CatalogPosition(era, records.size());
  }

  private TargetChange ofThisEra(TargetChange change) {
    CatalogPosition position = new CatalogPosition(era, change.position().offset());
    return switch (change) {
      case TargetChange.Published p -> new TargetChange.Published(position, p.entry());
      case TargetChange.Removed r ->
          new TargetChange.Removed(position, r.id(), r.gracePeriod(), r.lastReport());
    };
  }

  void publish(String id, boolean draining, long sequence) {
    records.add(target(end(), id, draining, sequence));
  }

  void remove(String id) {
    records.add(new TargetChange.Removed(end(), new TargetId(id), Duration.ZERO));
  }

  /** Deletes all records but the newest of each target that was not removed. */
  void deleteHistory() {
    firstRetained = records.size();
  }

  CatalogSource.TargetsReadResult read(CatalogPosition position) {
    int from = (int) position.offset();
    if (from > 0 && position.era() == era && from >= firstRetained && from <= records.size()) {
      return new CatalogSource.TargetsReadResult.Changes(
          records.subList(from, records.size()), end());
    }
    Map<TargetId, TargetChange> newest = new HashMap<>();
    records.forEach(item -> newest.put(item.id(), item));
    newest.values().removeIf(item -> item instanceof TargetChange.Removed);
    return new CatalogSource.TargetsReadResult.CompleteList(List.copyOf(newest.values()), end());
  }
}
