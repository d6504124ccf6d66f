package org.bergamotcross.bench;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the callers of a {@link CompetitionLoad} got, over one or more runs. */
final class CompetitionResult {
  /** How a request ended for its caller. */
  enum End {
    ON_TIME,
    LATE,
    REFUSED,
    FAILED
  }

  private static final int MIN_REQUESTS_OF_ORGANISATION = 30;
  private static final double TOLERATED_INVERSION = 0.05;

  private static final class Sums {
    private final Map<End, Long> ends = new EnumMap<>(End.class);
    private double owed;
    private double earned;

    private void add(RequestKind kind, End end) {
      ends.merge(end, 1L, Long::sum);
      owed += kind.worth();
      earned +=
          switch (end) {
            case ON_TIME -> kind.worth();
            case LATE -> kind.lateWorth();
            case REFUSED, FAILED -> 0;
          };
    }

    private Sums add(Sums other) {
      other.ends.forEach((end, count) -> ends.merge(end, count, Long::sum));
      owed += other.owed;
      earned += other.earned;
      return this;
    }

    private long count() {
      return ends.values().stream().mapToLong(Long::longValue).sum();
    }

    private double share(End end) {
      return (double) ends.getOrDefault(end, 0L) / Math.max(1, count());
    }

    private double served() {
      return share(End.ON_TIME) + share(End.LATE);
    }
  }

  private final Sums all = new Sums();
  private final Map<Integer, Sums> byOrganisation = new HashMap<>();
  private final Map<Integer, Sums> byPriority = new HashMap<>();
  private long refusedLate;

  void add(RequestKind kind, int organisation, End end) {
    all.add(kind, end);
    byOrganisation.computeIfAbsent(organisation, id -> new Sums()).add(kind, end);
    byPriority.computeIfAbsent(kind.priority(), id -> new Sums()).add(kind, end);
  }

  /** Adds the counts of another run. */
  void add(CompetitionResult other) {
    all.add(other.all);
    other.byOrganisation.forEach(
        (id, sums) -> byOrganisation.computeIfAbsent(id, key -> new Sums()).add(sums));
    other.byPriority.forEach(
        (id, sums) -> byPriority.computeIfAbsent(id, key -> new Sums()).add(sums));
    refusedLate += other.refusedLate;
  }

  /** Counts a request that was held for more than an eighth of its objective and then refused. */
  void addRefusedLate() {
    refusedLate++;
  }

  long count() {
    return all.count();
  }

  double share(End end) {
    return all.share(end);
  }

  double refusedLateShare() {
    return (double) refusedLate / Math.max(1, all.count());
  }

  /** Returns the earned share of the worth of all requests. */
  double worth() {
    return all.earned / Math.max(1e-9, all.owed);
  }

  /** Returns the share that the worst-served organisation earned, relative to that of all. */
  double smallestOrganisationShare() {
    return byOrganisation.values().stream()
            .filter(sums -> sums.count() >= MIN_REQUESTS_OF_ORGANISATION)
            .mapToDouble(sums -> sums.earned / sums.owed)
            .min()
            .orElse(0)
        / Math.max(1e-9, worth());
  }

  /** Returns by how much a less urgent priority was served better, at most, beyond 5 in 100. */
  double largestInversion() {
    double largest = 0;
    for (Map.Entry<Integer, Sums> urgent : byPriority.entrySet()) {
      for (Map.Entry<Integer, Sums> other : byPriority.entrySet()) {
        if (urgent.getKey() < other.getKey()) {
          largest =
              Math.max(
                  largest,
                  other.getValue().served() - urgent.getValue().served() - TOLERATED_INVERSION);
        }
      }
    }
    return largest;
  }

  /** Returns the served share by priority, the most urgent first. */
  List<Double> servedByPriority() {
    List<Double> shares = new ArrayList<>();
    byPriority.keySet().stream().sorted().forEach(p -> shares.add(byPriority.get(p).served()));
    return shares;
  }
}
