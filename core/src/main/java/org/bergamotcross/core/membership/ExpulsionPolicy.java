package org.bergamotcross.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.kernel.Now;

/**
 * Decides which members this instance proposes to expel.
 *
 * <p>A member is expelled when it was silent for {@link #UNHEARD_LIMIT}, or for {@link #GONE_LIMIT}
 * while the instance list, which had shown it, shows it no longer. Only an instance that hears a
 * majority proposes; the one with the smallest id does it first.
 */
public final class ExpulsionPolicy {
  /** The silence after which a member is expelled. */
  public static final Duration UNHEARD_LIMIT = Duration.ofSeconds(10);

  /** The silence after which a member is expelled that the list shows no longer. */
  public static final Duration GONE_LIMIT = Duration.ofSeconds(3);

  /** How much longer each following proposer waits. */
  public static final Duration RANK_DELAY = Duration.ofSeconds(2);

  // Long enough for an append and for reading it back, also when the log is slow.
  private static final Duration REPEAT_DELAY = Duration.ofSeconds(5);

  // An instance that only this one can't hear joins again each time; doubling its limit keeps a
  // partition between two instances from changing the epoch every few seconds.
  private static final int MAX_DOUBLINGS = 6;
  private static final Duration MEMORY = Duration.ofMinutes(20);

  private record Proposal(Now at, int count) {}

  private final InstanceId self;
  private final Map<InstanceId, Proposal> proposals = new HashMap<>();
  private Set<InstanceId> shown = new HashSet<>();
  private Set<InstanceId> gone = new HashSet<>();

  /**
   * Creates a policy that has seen no list.
   *
   * @param self the instance
   */
  public ExpulsionPolicy(InstanceId self) {
    this.self = self;
  }

  /**
   * Takes an answer of the instance list.
   *
   * @param listed the entry instances that the list shows
   * @param members the members
   */
  public void listed(Set<InstanceId> listed, Members members) {
    // The list lags, so a member that it has never shown is new and not gone.
    shown.addAll(listed);
    shown.removeIf(id -> members.find(id).isEmpty());
    gone = new HashSet<>(shown);
    gone.removeAll(listed);
  }

  /**
   * Decides whom to expel now.
   *
   * @param members the members
   * @param watch the answers of the members, up to date
   * @param now the present time
   * @return the members to expel; each one is returned again only after a delay
   */
  public List<Member> propose(Members members, PeerWatch watch, Now now) {
    proposals.values().removeIf(old -> now.since(old.at()).compareTo(MEMORY) > 0);
    Optional<Integer> rank = watch.rank(members, now);
    if (rank.isEmpty()) {
      return List.of();
    }
    Duration delay = RANK_DELAY.multipliedBy(rank.get());
    List<Member> proposed = new ArrayList<>();
    for (Member member : members.list()) {
      Duration limit = limit(member.id()).plus(delay);
      if (!member.id().equals(self)
          && watch.silence(member.id(), now).compareTo(limit) >= 0
          && mayRepeat(member.id(), now)) {
        proposals.merge(
            member.id(), new Proposal(now, 1), (old, one) -> new Proposal(now, old.count() + 1));
        proposed.add(member);
      }
    }
    return proposed;
  }

  private Duration limit(InstanceId id) {
    int earlier = Optional.ofNullable(proposals.get(id)).map(Proposal::count).orElse(0);
    return gone.contains(id)
        ? GONE_LIMIT
        : UNHEARD_LIMIT.multipliedBy(1L << Math.min(earlier, MAX_DOUBLINGS));
  }

  private boolean mayRepeat(InstanceId id, Now now) {
    Proposal last = proposals.get(id);
    return last == null || now.since(last.at()).compareTo(REPEAT_DELAY) >= 0;
  }
}
