package org.bergamotcross.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.bergamotcross.kernel.ClockReading;

/**
 * Detects silent members from the times of the heartbeats that they have echoed.
 *
 * <p>An echo counts from the time at which the echoed heartbeat was sent. Silence counts only while
 * a majority answers, so that an instance that was paused or partitioned does not mistake its own
 * isolation for the failure of the others.
 */
public final class FailureDetector {
  private final InstanceId self;
  private final Map<InstanceId, ClockReading> lastEchoedAt = new HashMap<>();
  private final Map<InstanceId, Member> knownMembers = new HashMap<>();
  private final Map<InstanceId, ClockReading> memberSince = new HashMap<>();
  private Members current = Members.NONE;
  private Optional<ClockReading> majoritySince = Optional.empty();
  private Optional<ClockReading> updatedAt = Optional.empty();

  /**
   * Creates a failure detector that has seen no echo.
   *
   * @param self the local instance
   */
  public FailureDetector(InstanceId self) {
    this.self = self;
  }

  /**
   * Records an echo from a peer.
   *
   * @param peer the peer
   * @param heartbeatSentAt when this instance sent the echoed heartbeat
   */
  public void recordEcho(InstanceId peer, ClockReading heartbeatSentAt) {
    lastEchoedAt.merge(peer, heartbeatSentAt, (old, fresh) -> fresh.isBefore(old) ? old : fresh);
  }

  /**
   * Updates the detector; expected to be called several times per second.
   *
   * @param members the current members
   * @param now the current time
   */
  public void update(Members members, ClockReading now) {
    if (!members.equals(current)) {
      replaceMembers(members, now);
    }
    lastEchoedAt
        .entrySet()
        .removeIf(
            entry ->
                !knownMembers.containsKey(entry.getKey())
                    && now.since(entry.getValue()).compareTo(FreshnessTracker.CONFIRMATION_VALIDITY)
                        > 0);
    boolean wasPaused =
        updatedAt.isPresent()
            && now.since(updatedAt.get()).compareTo(FreshnessTracker.CONFIRMATION_VALIDITY) > 0;
    updatedAt = Optional.of(now);
    if (wasPaused) {
      majoritySince = Optional.empty();
    }
    if (reachableCount(members, now) < members.majority()) {
      majoritySince = Optional.empty();
    } else if (majoritySince.isEmpty()) {
      majoritySince = Optional.of(now);
    }
  }

  private void replaceMembers(Members members, ClockReading now) {
    current = members;
    Set<InstanceId> ids = members.list().stream().map(Member::id).collect(Collectors.toSet());
    knownMembers.keySet().retainAll(ids);
    memberSince.keySet().retainAll(ids);
    for (Member member : members.list()) {
      if (!member.equals(knownMembers.put(member.id(), member))) {
        memberSince.put(member.id(), now);
      }
    }
  }

  /**
   * Returns how long a member has been silent while a majority answered.
   *
   * @param id the member
   * @param now the current time
   * @return the duration of the silence; zero when no majority answers or the instance is not a
   *     member
   */
  public Duration silenceOf(InstanceId id, ClockReading now) {
    if (majoritySince.isEmpty() || !memberSince.containsKey(id)) {
      return Duration.ZERO;
    }
    ClockReading since = latest(majoritySince.get(), memberSince.get(id));
    ClockReading echoedAt = lastEchoedAt.get(id);
    return now.since(echoedAt == null ? since : latest(since, echoedAt));
  }

  /**
   * Returns the rank of this instance among the members that it reaches.
   *
   * <p>Instances that reach the same members agree on the ranks, so the instance with rank 0 acts
   * for all of them and the next one only after a delay.
   *
   * @param members the current members
   * @param now the current time
   * @return the number of reachable members with a smaller id; empty when no majority is reachable
   *     or this instance is not a member
   */
  public Optional<Integer> rank(Members members, ClockReading now) {
    if (members.find(self).isEmpty() || reachableCount(members, now) < members.majority()) {
      return Optional.empty();
    }
    return Optional.of(
        (int)
            members.list().stream()
                .filter(member -> member.id().compareTo(self) < 0 && isReachable(member.id(), now))
                .count());
  }

  private long reachableCount(Members members, ClockReading now) {
    return members.list().stream()
        .filter(member -> member.id().equals(self) || isReachable(member.id(), now))
        .count();
  }

  private boolean isReachable(InstanceId id, ClockReading now) {
    ClockReading echoedAt = lastEchoedAt.get(id);
    return echoedAt != null
        && now.since(echoedAt).compareTo(FreshnessTracker.CONFIRMATION_VALIDITY) <= 0;
  }

  private static ClockReading latest(ClockReading one, ClockReading other) {
    return one.isBefore(other) ? other : one;
  }
}
