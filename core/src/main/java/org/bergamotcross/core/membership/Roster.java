package org.bergamotcross.core.membership;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.codec.digest.MurmurHash3;
import org.bergamotcross.kernel.ClockReading;

/**
 * Counts the instances among which the limits of the fleet are divided, and decides whether the
 * local instance may use its share.
 *
 * <p>An instance is counted whether or not it is reachable, because a silent instance may be
 * partitioned and still use its share. Of any two instances that may use a share, each counts the
 * other:
 *
 * <ul>
 *   <li>A new instance, which is not yet in the instance directory, must be counted by all
 *       instances before it is registered, and must have read the directory again after that.
 *   <li>An instance that restarts under the same id is still counted; it reads the directory and
 *       waits until the leases of its previous incarnation have expired.
 *   <li>An instance is no longer counted after it was silent for {@link #RETENTION} towards all
 *       reachable instances, these formed a majority all the time, and it was removed from the
 *       directory. By then it has stopped using its share, because the instances that it cannot
 *       reach may be that majority.
 * </ul>
 *
 * <p>In a fleet with relays an instance has no link to most of the others. It then learns from
 * relays which instances are alive and which count the same as it does ({@link #digest}).
 *
 * <p>With n counted instances a share is 1/n, so the shares in use never add up to more than the
 * whole.
 */
public final class Roster {
  /**
   * How long a silent instance is counted; partitions between regions occasionally last an hour.
   */
  public static final Duration RETENTION = Duration.ofHours(2);

  /** How much earlier an instance stops using its share than the others stop counting it. */
  static final Duration RETENTION_MARGIN = Duration.ofMinutes(5);

  /**
   * Reports of an instance that has just died go on for less than this: peers report at least each
   * 10 s which instances answer them, and an answer counts for 3.5 s.
   */
  private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(30);

  private static final class Entry {
    Member member;
    ClockReading lastAliveAt;
    ClockReading lastAnsweredAt;
    boolean answeredSinceUpdate;
    boolean acknowledged;
    boolean knowsIncarnation;
    boolean registered;

    Entry(Member member, ClockReading seenAt) {
      this.member = member;
      this.lastAliveAt = seenAt;
      this.lastAnsweredAt = seenAt;
    }
  }

  private final Member self;
  private final Map<InstanceId, Entry> others = new HashMap<>();
  private final SuspensionDetector suspensionDetector = new SuspensionDetector();
  private final ClockReading startedAt;
  private ClockReading lastMajorityAt;
  private ClockReading majorityAnswersSince;
  private Optional<ClockReading> allAcknowledgedAt = Optional.empty();
  private boolean directoryKnown;
  private boolean listedAtFirstRead;
  private boolean selfRegistered;
  private boolean usable;
  private long digest;
  private Optional<List<Member>> orderedMembers = Optional.empty();

  /**
   * Creates the roster of an instance that has just started and knows no other instance.
   *
   * @param self the local instance
   * @param now the current time
   */
  public Roster(Member self, ClockReading now) {
    this.self = self;
    this.startedAt = now;
    this.lastMajorityAt = now;
    this.majorityAnswersSince = now;
    this.digest = hash(self.id());
  }

  /**
   * Counts an instance that has introduced itself or that a peer has named.
   *
   * @param member the instance
   * @param now the current time
   */
  public void add(Member member, ClockReading now) {
    if (member.id().equals(self.id())) {
      return;
    }
    Entry entry = others.get(member.id());
    if (entry == null) {
      others.put(member.id(), new Entry(member, now));
      digest += hash(member.id());
      allAcknowledgedAt = Optional.empty();
      orderedMembers = Optional.empty();
    } else if (!entry.member.equals(member)) {
      entry.member = member;
      orderedMembers = Optional.empty();
    }
  }

  /**
   * Counts all instances of the directory.
   *
   * @param members the other instances in the directory
   * @param hasSelf whether the directory lists the local instance
   * @param now the current time
   */
  public void applyDirectory(Collection<Member> members, boolean hasSelf, ClockReading now) {
    // An instance's own introduction takes precedence over its directory entry.
    members.stream().filter(member -> !others.containsKey(member.id())).forEach(m -> add(m, now));
    members.forEach(member -> recordRegistration(member.id()));
    if (!directoryKnown) {
      listedAtFirstRead = hasSelf;
    } else if (selfRegistered && !hasSelf) {
      revokeShare();
    }
    selfRegistered = hasSelf;
    directoryKnown = true;
  }

  /**
   * Records that a peer has answered, and thus counts this incarnation of the local instance.
   *
   * @param peer the peer
   */
  public void recordAcknowledgement(InstanceId peer) {
    Optional.ofNullable(others.get(peer))
        .ifPresent(
            entry -> {
              entry.acknowledged = true;
              entry.knowsIncarnation = true;
              entry.answeredSinceUpdate = true;
            });
  }

  /**
   * Records that instances count the local instance, as known from a reachable relay: the digests
   * of the relay, of these instances and of this one are equal, so that all count the same.
   *
   * <p>They may not know this incarnation yet, and then still use leases of the previous one.
   *
   * @param instances the instances
   */
  public void recordAcknowledgements(Collection<InstanceId> instances) {
    for (InstanceId id : instances) {
      Optional.ofNullable(others.get(id)).ifPresent(entry -> entry.acknowledged = true);
    }
  }

  /**
   * Records that instances that acknowledge the local instance also know its incarnation, so that
   * they no longer use leases of the previous one.
   *
   * @param instances the instances
   */
  public void recordIncarnationKnown(Collection<InstanceId> instances) {
    for (InstanceId id : instances) {
      Optional.ofNullable(others.get(id)).ifPresent(entry -> entry.knowsIncarnation = true);
    }
  }

  /**
   * Records that instances are alive because they answer this instance or a reachable peer.
   *
   * @param instances the instances
   * @param now the current time
   */
  public void recordAlive(Collection<InstanceId> instances, ClockReading now) {
    for (InstanceId id : instances) {
      Entry entry = others.get(id);
      if (entry != null) {
        entry.lastAliveAt = now;
      }
    }
  }

  /**
   * Updates the decision whether the local share may be used.
   *
   * @param answering the number of instances known to answer, here or at a reachable relay
   * @param now the current time
   */
  public void update(int answering, ClockReading now) {
    for (Entry entry : others.values()) {
      if (entry.answeredSinceUpdate) {
        entry.answeredSinceUpdate = false;
        entry.lastAnsweredAt = now;
      }
    }
    lastMajorityAt = lastMajorityAt.plus(suspensionDetector.detectPause(now).negated());
    if (2 * (answering + 1) >= size()) {
      lastMajorityAt = now;
    }
    if (now.since(lastMajorityAt).compareTo(RETENTION.minus(RETENTION_MARGIN)) > 0) {
      revokeShare();
    }
    if (allAcknowledgedAt.isEmpty() && others.values().stream().allMatch(e -> e.acknowledged)) {
      allAcknowledgedAt = Optional.of(now);
    }
    usable = usable || mayUseShare(now);
  }

  /** Starts over like a new instance, because the others may have stopped counting this one. */
  private void revokeShare() {
    usable = false;
    listedAtFirstRead = false;
    selfRegistered = false;
    allAcknowledgedAt = Optional.empty();
    others
        .values()
        .forEach(
            entry -> {
              entry.acknowledged = false;
              entry.knowsIncarnation = false;
            });
  }

  private boolean mayUseShare(ClockReading now) {
    if (!directoryKnown) {
      return false;
    }
    if (listedAtFirstRead) {
      return isIncarnationKnownToAll() || haveLeasesExpired(startedAt, now);
    }
    return selfRegistered && allAcknowledgedAt.filter(at -> haveLeasesExpired(at, now)).isPresent();
  }

  private boolean isIncarnationKnownToAll() {
    return allAcknowledgedAt.isPresent()
        && others.values().stream().allMatch(entry -> entry.knowsIncarnation);
  }

  private static boolean haveLeasesExpired(ClockReading since, ClockReading now) {
    return now.since(since).compareTo(DelegationPlan.LEASE_EXPIRY) >= 0;
  }

  /**
   * Tells whether this instance may use its share.
   *
   * @return whether it may
   */
  public boolean isShareUsable() {
    return usable;
  }

  /**
   * Tells whether this instance is to be registered: it is not in the directory yet, and all
   * counted instances count it.
   *
   * @return whether to register now
   */
  public boolean awaitsRegistration() {
    return directoryKnown && !selfRegistered && allAcknowledgedAt.isPresent();
  }

  /**
   * Finds the instances whose silence was long enough to remove them from the directory.
   *
   * <p>A majority must have answered all the time: any other majority, which lets a partitioned
   * instance use its share, then has a part in it and has reported that instance. As long as an
   * instance that does not answer here is alive elsewhere, it may be the only one that hears a
   * partitioned instance, so that time does not count. In a fleet with relays, only these find
   * departed instances, since no majority answers the others themselves.
   *
   * @param answering the number of peers that answer this instance itself; answers at a relay don't
   *     count
   * @param now the current time
   * @return the instances, which are counted until {@link #remove}; empty when no majority answers
   */
  public Set<InstanceId> findDeparted(int answering, ClockReading now) {
    boolean hearsMajority = 2 * (answering + 1) > size();
    if (!hearsMajority || others.values().stream().anyMatch(e -> isAliveElsewhere(e, now))) {
      majorityAnswersSince = now;
    }
    if (now.since(majorityAnswersSince).compareTo(RETENTION) <= 0) {
      return Set.of();
    }
    return others.values().stream()
        .filter(entry -> now.since(entry.lastAliveAt).compareTo(RETENTION) > 0)
        .map(entry -> entry.member.id())
        .collect(Collectors.toSet());
  }

  private static boolean isAliveElsewhere(Entry entry, ClockReading now) {
    return now.since(entry.lastAliveAt).compareTo(MAX_REPORT_AGE) <= 0
        && entry.lastAliveAt.since(entry.lastAnsweredAt).compareTo(MAX_REPORT_AGE) > 0;
  }

  /**
   * Stops counting an instance that was removed from the directory.
   *
   * @param instance the instance
   */
  public void remove(InstanceId instance) {
    if (others.remove(instance) != null) {
      digest -= hash(instance);
      orderedMembers = Optional.empty();
    }
  }

  /**
   * Tells whether the directory was read, by this instance or by a peer that shared its contents.
   *
   * @return whether all instances that may use a share are counted
   */
  public boolean isDirectoryKnown() {
    return directoryKnown;
  }

  /**
   * Returns the number of counted instances, including this one.
   *
   * @return the number of equal shares
   */
  public int size() {
    return others.size() + 1;
  }

  /**
   * Returns a digest of the ids of all counted instances, including this one. Instances with the
   * same digest count the same instances, in the same {@link #members} positions.
   *
   * @return the digest, which does not depend on the order in which instances were added
   */
  public long digest() {
    return digest;
  }

  private static long hash(InstanceId instance) {
    return MurmurHash3.hash128x64(instance.value().getBytes(StandardCharsets.UTF_8))[0];
  }

  /**
   * Tells whether another instance is counted.
   *
   * @param instance the instance
   * @return whether it is counted; false for the local instance
   */
  public boolean contains(InstanceId instance) {
    return others.containsKey(instance);
  }

  /**
   * Returns all counted instances.
   *
   * @return the instances ordered by id, including this one; the same list until a member changes
   */
  public List<Member> members() {
    if (orderedMembers.isEmpty()) {
      orderedMembers =
          Optional.of(
              Stream.concat(Stream.of(self), others.values().stream().map(entry -> entry.member))
                  .sorted(Comparator.comparing(Member::id))
                  .toList());
    }
    return orderedMembers.get();
  }

  /**
   * Records that another instance is registered in the directory.
   *
   * @param instance the instance
   */
  public void recordRegistration(InstanceId instance) {
    Optional.ofNullable(others.get(instance)).ifPresent(entry -> entry.registered = true);
  }

  /**
   * Tells whether another instance is known to be registered in the directory.
   *
   * @param instance the instance
   * @return whether the directory has listed it, or it has reported its registration
   */
  public boolean isRegistered(InstanceId instance) {
    return Optional.ofNullable(others.get(instance)).map(entry -> entry.registered).orElse(false);
  }

  /**
   * Tells whether this instance is registered in the directory.
   *
   * @return whether the directory listed it when last read
   */
  public boolean isRegistered() {
    return selfRegistered;
  }
}
