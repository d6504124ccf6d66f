package org.bergamotcross.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.kernel.ClockReading;

/**
 * Decides which members this instance proposes to expel.
 *
 * <p>A member is expelled after it was silent for {@link #SILENCE_TIMEOUT}, or for {@link
 * #UNLISTED_SILENCE_TIMEOUT} when the instance directory has listed it before and no longer does.
 * Only instances that reach a majority propose; the one with the smallest id proposes first.
 */
public final class ExpulsionPolicy {
  /** The silence after which a member is expelled. */
  public static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(10);

  /** The silence after which a member that the directory no longer lists is expelled. */
  public static final Duration UNLISTED_SILENCE_TIMEOUT = Duration.ofSeconds(3);

  /** The additional delay of each further proposer in rank order. */
  public static final Duration RANK_DELAY = Duration.ofSeconds(2);

  // Covers an append and reading it back, even when the log is slow.
  private static final Duration REPEATED_PROPOSAL_DELAY = Duration.ofSeconds(5);

  // A member that only this instance cannot reach rejoins after each expulsion. Doubling its
  // timeout each time prevents a partition between two instances from changing the epoch every
  // few seconds.
  private static final int MAX_TIMEOUT_DOUBLINGS = 6;
  private static final Duration PROPOSAL_RETENTION = Duration.ofMinutes(20);

  private record Proposal(ClockReading at, int count) {}

  private final InstanceId self;
  private final Map<InstanceId, Proposal> proposals = new HashMap<>();
  private Set<InstanceId> everListed = new HashSet<>();
  private Set<InstanceId> unlisted = new HashSet<>();

  /**
   * Creates a policy that has seen no listing of the directory.
   *
   * @param self the local instance
   */
  public ExpulsionPolicy(InstanceId self) {
    this.self = self;
  }

  /**
   * Records a listing of the instance directory.
   *
   * @param listed the instances that the directory lists
   * @param members the current members
   */
  public void recordListing(Set<InstanceId> listed, Members members) {
    // The directory lags behind: a member that it has never listed is new rather than removed.
    everListed.addAll(listed);
    everListed.removeIf(id -> members.find(id).isEmpty());
    unlisted = new HashSet<>(everListed);
    unlisted.removeAll(listed);
  }

  /**
   * Returns the members to propose for expulsion now.
   *
   * @param members the current members
   * @param detector the failure detector, updated for the current time
   * @param now the current time
   * @return the members to expel; a member is returned again only after a delay
   */
  public List<Member> propose(Members members, FailureDetector detector, ClockReading now) {
    proposals.values().removeIf(old -> now.since(old.at()).compareTo(PROPOSAL_RETENTION) > 0);
    Optional<Integer> rank = detector.rank(members, now);
    if (rank.isEmpty()) {
      return List.of();
    }
    Duration delay = RANK_DELAY.multipliedBy(rank.get());
    List<Member> proposed = new ArrayList<>();
    for (Member member : members.list()) {
      Duration limit = silenceTimeout(member.id()).plus(delay);
      if (!member.id().equals(self)
          && detector.silenceOf(member.id(), now).compareTo(limit) >= 0
          && mayRepeat(member.id(), now)) {
        proposals.merge(
            member.id(), new Proposal(now, 1), (old, one) -> new Proposal(now, old.count() + 1));
        proposed.add(member);
      }
    }
    return proposed;
  }

  private Duration silenceTimeout(InstanceId id) {
    int earlierProposals = Optional.ofNullable(proposals.get(id)).map(Proposal::count).orElse(0);
    return unlisted.contains(id)
        ? UNLISTED_SILENCE_TIMEOUT
        : SILENCE_TIMEOUT.multipliedBy(1L << Math.min(earlierProposals, MAX_TIMEOUT_DOUBLINGS));
  }

  private boolean mayRepeat(InstanceId id, ClockReading now) {
    Proposal last = proposals.get(id);
    return last == null || now.since(last.at()).compareTo(REPEATED_PROPOSAL_DELAY) >= 0;
  }
}
