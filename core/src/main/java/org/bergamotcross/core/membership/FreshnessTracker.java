package org.bergamotcross.core.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.bergamotcross.kernel.ClockReading;

/**
 * Tracks until when an instance may rely on its configuration to use keys, shares and claims.
 *
 * <p>There are two ways to confirm that the instance knows the configuration in force: a read that
 * shows its offset at the head of the log, or echoes from a majority of the members of which none
 * is ahead. A confirmation is valid from the time at which the read or the heartbeat was
 * <em>sent</em>, by the instance's own monotonic clock, so a response that was buffered during a
 * pause confirms nothing.
 */
public final class FreshnessTracker {
  /** How long a confirmation is valid. */
  public static final Duration CONFIRMATION_VALIDITY = Duration.ofSeconds(3);

  /** The source of a confirmation. */
  public enum Source {
    /** A read that reached the head of the log. */
    LOG,
    /** Echoes from a majority of the members. */
    PEERS
  }

  /**
   * A confirmation that the configuration is in force.
   *
   * @param validUntil the end of its validity by the monotonic clock
   * @param source the source of the confirmation
   */
  public record Confirmation(ClockReading validUntil, Source source) {}

  private record Echo(long incarnation, ClockReading heartbeatSentAt, long offset) {}

  private final Member self;
  private final Map<InstanceId, Echo> echoes = new HashMap<>();
  private Optional<Confirmation> latest = Optional.empty();

  /**
   * Creates a tracker without a confirmation.
   *
   * @param self the local instance
   */
  public FreshnessTracker(Member self) {
    this.self = self;
  }

  /**
   * Records a read that showed the head of the log at the folded offset.
   *
   * @param readSentAt when the read was sent
   * @param offset the last offset that was folded
   * @param now the current time
   */
  public void recordLogHead(ClockReading readSentAt, long offset, ClockReading now) {
    // A stale page can look like the head; a higher offset at a peer shows that it is not.
    if (!isBehind(offset, now)) {
      confirm(readSentAt, Source.LOG);
    }
  }

  /**
   * Records an echo of a heartbeat.
   *
   * @param peer the peer
   * @param incarnation the incarnation of the peer
   * @param heartbeatSentAt when this instance sent the echoed heartbeat
   * @param offset the last offset that the peer has folded
   */
  public void recordEcho(
      InstanceId peer, long incarnation, ClockReading heartbeatSentAt, long offset) {
    echoes.merge(
        peer,
        new Echo(incarnation, heartbeatSentAt, offset),
        (old, fresh) -> fresh.heartbeatSentAt().isBefore(old.heartbeatSentAt()) ? old : fresh);
  }

  /**
   * Checks the echoes for a quorum and returns the latest confirmation.
   *
   * @param members the members at the folded offset
   * @param offset the last offset that was folded
   * @param now the current time
   * @return the latest confirmation, which may have expired; empty when there was none
   */
  public Optional<Confirmation> evaluate(Members members, long offset, ClockReading now) {
    if (offset >= 0 && !isBehind(offset, now)) {
      quorumEchoTime(members, now).ifPresent(at -> confirm(at, Source.PEERS));
    }
    return latest;
  }

  /**
   * Returns the known log offsets of the peers.
   *
   * @return the offset in the latest echo of each peer
   */
  public Map<InstanceId, Long> peerOffsets() {
    Map<InstanceId, Long> offsets = new HashMap<>();
    echoes.forEach((peer, echo) -> offsets.put(peer, echo.offset()));
    return offsets;
  }

  /**
   * Removes peers that are not members and whose last echo is no longer recent.
   *
   * @param members the current members
   * @param now the current time
   */
  public void removeSilentPeers(Members members, ClockReading now) {
    Set<InstanceId> ids = members.list().stream().map(Member::id).collect(Collectors.toSet());
    echoes
        .entrySet()
        .removeIf(entry -> !ids.contains(entry.getKey()) && !isRecent(entry.getValue(), now));
  }

  /**
   * Returns the latest time since which a majority, including this instance, has answered.
   *
   * <p>The instance itself counts as answering now. A process counts only if the log records its
   * incarnation: after a restart it has lost what a majority may have learned through it, and it
   * becomes a member again only by reading the log up to its head.
   */
  private Optional<ClockReading> quorumEchoTime(Members members, ClockReading now) {
    boolean isMember = members.find(self.id()).filter(this::isOwnIncarnation).isPresent();
    int needed = members.majority() - (isMember ? 1 : 0);
    if (needed == 0) {
      return Optional.of(now);
    }
    List<ClockReading> answers =
        members.list().stream()
            .filter(member -> !member.id().equals(self.id()))
            .flatMap(member -> echoOf(member).stream())
            .map(Echo::heartbeatSentAt)
            .sorted(Comparator.reverseOrder())
            .toList();
    return answers.size() < needed ? Optional.empty() : Optional.of(answers.get(needed - 1));
  }

  // Only recent echoes count; otherwise a peer that failed after reporting a higher offset would
  // block all others until the log is available again.
  private boolean isBehind(long offset, ClockReading now) {
    return echoes.values().stream().anyMatch(echo -> echo.offset() > offset && isRecent(echo, now));
  }

  private static boolean isRecent(Echo echo, ClockReading now) {
    return now.since(echo.heartbeatSentAt()).compareTo(CONFIRMATION_VALIDITY) <= 0;
  }

  private boolean isOwnIncarnation(Member member) {
    return member.incarnation() == self.incarnation();
  }

  private Optional<Echo> echoOf(Member member) {
    return Optional.ofNullable(echoes.get(member.id()))
        .filter(echo -> echo.incarnation() == member.incarnation());
  }

  private void confirm(ClockReading at, Source source) {
    ClockReading until = at.plus(CONFIRMATION_VALIDITY);
    if (latest.isEmpty() || latest.get().validUntil().isBefore(until)) {
      latest = Optional.of(new Confirmation(until, source));
    }
  }
}
