package org.bergamotcross.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Selects the instances that relay messages for the others in a large fleet.
 *
 * <p>The selection depends only on the counted instances, on which of them are eligible, and on
 * whether relays are in use already. Instances that know the same therefore select the same relays.
 */
public final class RelayPlan {
  /** Two, so that the subscribers of a relay that fails have another one in their domain. */
  private static final int MIN_RELAYS_PER_DOMAIN = 2;

  /** The instances of a failure domain for each of its relays. */
  private static final int INSTANCES_PER_RELAY = 48;

  private static final String RANKING_KEY = "relay";

  /**
   * An instance that may become a relay.
   *
   * @param member the instance
   * @param capacity the capacity of its processor and network link, in any unit that all instances
   *     share
   * @param eligible whether it answers and is not about to stop
   */
  public record Candidate(Member member, int capacity, boolean eligible) {}

  private record Ranked(Candidate candidate, long weight) {}

  private record Position(int inDomain, Ranked ranked) {}

  /** Prefers large capacity, then a high weight. */
  private static final Comparator<Ranked> BY_CAPACITY =
      Comparator.<Ranked>comparingInt(ranked -> ranked.candidate().capacity())
          .thenComparingLong(Ranked::weight)
          .reversed()
          .thenComparing(ranked -> ranked.candidate().member().id());

  private final int fullMeshLimit;
  private boolean usesRelays;

  /**
   * Creates a plan without relays.
   *
   * @param fullMeshLimit the maximum number of counted instances that need no relays
   */
  public RelayPlan(int fullMeshLimit) {
    this.fullMeshLimit = fullMeshLimit;
  }

  /**
   * Selects the relays.
   *
   * <p>Relays are in use above the limit, and from then on until fewer than three quarters of the
   * limit are counted, so that single instances that join and leave don't rebuild all links.
   *
   * @param counted the counted instances, including the local one
   * @return the relays
   */
  public RelayView update(Collection<Candidate> counted) {
    usesRelays =
        counted.size() > fullMeshLimit || (usesRelays && 4 * counted.size() >= 3 * fullMeshLimit);
    return usesRelays ? select(counted) : RelayView.FULL_MESH;
  }

  private static RelayView select(Collection<Candidate> counted) {
    Map<String, List<Candidate>> byDomain = new TreeMap<>();
    for (Candidate candidate : counted) {
      String domain = candidate.member().failureDomain().value();
      byDomain.computeIfAbsent(domain, name -> new ArrayList<>()).add(candidate);
    }
    List<Position> selected = new ArrayList<>();
    byDomain.values().forEach(candidates -> selected.addAll(selectInDomain(candidates)));
    return new RelayView(
        selected.stream()
            .sorted(
                Comparator.comparingInt(Position::inDomain)
                    .thenComparing(Position::ranked, BY_CAPACITY))
            .map(position -> position.ranked().candidate().member())
            .toList());
  }

  private static List<Position> selectInDomain(List<Candidate> candidates) {
    List<Ranked> ranked =
        candidates.stream()
            .filter(Candidate::eligible)
            .map(c -> new Ranked(c, Members.rendezvousWeight(RANKING_KEY, c.member().id())))
            .sorted(BY_CAPACITY)
            .limit(relayCount(candidates.size()))
            .toList();
    List<Position> positions = new ArrayList<>();
    for (int i = 0; i < ranked.size(); i++) {
      positions.add(new Position(i, ranked.get(i)));
    }
    return positions;
  }

  /** Returns the relays of a domain: one for each 48 instances or part of them, at least two. */
  private static int relayCount(int instances) {
    return Math.max(MIN_RELAYS_PER_DOMAIN, Math.ceilDiv(instances, INSTANCES_PER_RELAY));
  }
}
