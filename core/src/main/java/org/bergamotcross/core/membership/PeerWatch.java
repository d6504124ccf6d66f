package org.bergamotcross.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.bergamotcross.kernel.Now;

/**
 * Keeps when each member has last shown that it hears this instance and is heard by it.
 *
 * <p>An answer counts from the time at which the echoed beat was sent. Silence counts only while a
 * majority answers, so that an instance that was paused or cut off does not take its own silence
 * for that of the others.
 */
public final class PeerWatch {
  private final InstanceId self;
  private final Map<InstanceId, Now> heardAt = new HashMap<>();
  private final Map<InstanceId, Member> known = new HashMap<>();
  private final Map<InstanceId, Now> memberSince = new HashMap<>();
  private Members current = Members.NONE;
  private Optional<Now> majoritySince = Optional.empty();
  private Optional<Now> updatedAt = Optional.empty();

  /**
   * Creates a watch that has heard nobody.
   *
   * @param self the instance
   */
  public PeerWatch(InstanceId self) {
    this.self = self;
  }

  /**
   * Takes an answer of a peer.
   *
   * @param peer the peer
   * @param beatSentAt when this instance sent the beat that is echoed
   */
  public void echoed(InstanceId peer, Now beatSentAt) {
    heardAt.merge(peer, beatSentAt, (old, fresh) -> fresh.isBefore(old) ? old : fresh);
  }

  /**
   * Brings the watch up to date; called several times a second.
   *
   * @param members the members
   * @param now the present time
   */
  public void update(Members members, Now now) {
    if (!members.equals(current)) {
      change(members, now);
    }
    heardAt
        .entrySet()
        .removeIf(
            entry ->
                !known.containsKey(entry.getKey())
                    && now.since(entry.getValue()).compareTo(FreshnessTracker.VALIDITY) > 0);
    boolean paused =
        updatedAt.isPresent()
            && now.since(updatedAt.get()).compareTo(FreshnessTracker.VALIDITY) > 0;
    updatedAt = Optional.of(now);
    if (paused) {
      majoritySince = Optional.empty();
    }
    if (heardCount(members, now) < members.majority()) {
      majoritySince = Optional.empty();
    } else if (majoritySince.isEmpty()) {
      majoritySince = Optional.of(now);
    }
  }

  private void change(Members members, Now now) {
    current = members;
    Set<InstanceId> ids = members.list().stream().map(Member::id).collect(Collectors.toSet());
    known.keySet().retainAll(ids);
    memberSince.keySet().retainAll(ids);
    for (Member member : members.list()) {
      if (!member.equals(known.put(member.id(), member))) {
        memberSince.put(member.id(), now);
      }
    }
  }

  /**
   * Returns how long a member has been silent while a majority answered.
   *
   * @param id the member
   * @param now the present time
   * @return the silence; zero when no majority answers or the instance is no member
   */
  public Duration silence(InstanceId id, Now now) {
    if (majoritySince.isEmpty() || !memberSince.containsKey(id)) {
      return Duration.ZERO;
    }
    Now since = later(majoritySince.get(), memberSince.get(id));
    Now heard = heardAt.get(id);
    return now.since(heard == null ? since : later(since, heard));
  }

  /**
   * Returns the place of this instance among the members that it hears.
   *
   * <p>Instances that hear the same members agree on the places, so the one with rank 0 acts for
   * all and the next one only after a delay.
   *
   * @param members the members
   * @param now the present time
   * @return the number of heard members with a smaller id; nothing when no majority is heard or
   *     this instance is no member
   */
  public Optional<Integer> rank(Members members, Now now) {
    if (members.find(self).isEmpty() || heardCount(members, now) < members.majority()) {
      return Optional.empty();
    }
    return Optional.of(
        (int)
            members.list().stream()
                .filter(member -> member.id().compareTo(self) < 0 && isHeard(member.id(), now))
                .count());
  }

  private long heardCount(Members members, Now now) {
    return members.list().stream()
        .filter(member -> member.id().equals(self) || isHeard(member.id(), now))
        .count();
  }

  private boolean isHeard(InstanceId id, Now now) {
    Now heard = heardAt.get(id);
    return heard != null && now.since(heard).compareTo(FreshnessTracker.VALIDITY) <= 0;
  }

  private static Now later(Now one, Now other) {
    return one.isBefore(other) ? other : one;
  }
}
