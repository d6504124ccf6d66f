package org.bergamotcross.core.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.bergamotcross.kernel.Now;

/**
 * Decides until when an instance may use keys, shares and claims.
 *
 * <p>Two things confirm that the instance knows the configuration in force: a read that shows its
 * offset at the head of the log, or echoes from a majority of the members of which none is ahead. A
 * confirmation counts from the time at which the read or the beat was <em>sent</em>, by the
 * instance's own monotonic clock, so that an answer that was buffered during a pause counts for
 * nothing.
 */
public final class FreshnessTracker {
  /** How long a confirmation counts. */
  public static final Duration VALIDITY = Duration.ofSeconds(3);

  /** What confirmed the freshness. */
  public enum Source {
    /** The head of the log. */
    LOG,
    /** A majority of the members. */
    PEERS
  }

  /**
   * The latest confirmation.
   *
   * @param validUntil the monotonic end
   * @param source what confirmed it
   */
  public record Confirmation(Now validUntil, Source source) {}

  private record Echo(long incarnation, Now beatSentAt, long offset) {}

  private final Member self;
  private final Map<InstanceId, Echo> echoes = new HashMap<>();
  private Optional<Confirmation> latest = Optional.empty();

  /**
   * Creates a tracker without a confirmation.
   *
   * @param self the instance
   */
  public FreshnessTracker(Member self) {
    this.self = self;
  }

  /**
   * Takes a read that showed the head of the log at the folded offset.
   *
   * @param readSentAt when the read was sent
   * @param offset the folded offset
   * @param now the present time
   */
  public void logConfirmed(Now readSentAt, long offset, Now now) {
    // An old page may look like the head; an offset that a peer has shows that it is none.
    if (!isBehind(offset, now)) {
      confirm(readSentAt, Source.LOG);
    }
  }

  /**
   * Takes an answer of a peer.
   *
   * @param peer the peer
   * @param incarnation the process that answers
   * @param beatSentAt when this instance sent the beat that is echoed
   * @param offset the offset that the peer has folded
   */
  public void echoed(InstanceId peer, long incarnation, Now beatSentAt, long offset) {
    echoes.merge(
        peer,
        new Echo(incarnation, beatSentAt, offset),
        (old, fresh) -> fresh.beatSentAt().isBefore(old.beatSentAt()) ? old : fresh);
  }

  /**
   * Counts the echoes and returns the latest confirmation.
   *
   * @param members the members at the folded offset
   * @param offset the folded offset
   * @param now the present time
   * @return the latest confirmation, also when it has run out; nothing when there was none
   */
  public Optional<Confirmation> evaluate(Members members, long offset, Now now) {
    if (offset >= 0 && !isBehind(offset, now)) {
      majorityEchoedAt(members, now).ifPresent(at -> confirm(at, Source.PEERS));
    }
    return latest;
  }

  /**
   * Returns the offsets of the peers as far as they are known.
   *
   * @return the offset of the latest echo, by peer
   */
  public Map<InstanceId, Long> offsets() {
    Map<InstanceId, Long> offsets = new HashMap<>();
    echoes.forEach((peer, echo) -> offsets.put(peer, echo.offset()));
    return offsets;
  }

  /**
   * Forgets peers that are no members and have not answered for long.
   *
   * @param members the members
   * @param now the present time
   */
  public void forgetSilent(Members members, Now now) {
    Set<InstanceId> ids = members.list().stream().map(Member::id).collect(Collectors.toSet());
    echoes
        .entrySet()
        .removeIf(entry -> !ids.contains(entry.getKey()) && !isRecent(entry.getValue(), now));
  }

  /**
   * Finds the time by which a majority, this instance included, has answered.
   *
   * <p>The instance itself counts as answering now. A process counts only if it is the one that the
   * log records: after a restart it has forgotten what a majority may have known through it, and
   * becomes a member again only by reading the log up to its head.
   */
  private Optional<Now> majorityEchoedAt(Members members, Now now) {
    boolean isMember = members.find(self.id()).filter(this::isSelf).isPresent();
    int needed = members.majority() - (isMember ? 1 : 0);
    if (needed == 0) {
      return Optional.of(now);
    }
    List<Now> answers =
        members.list().stream()
            .filter(member -> !member.id().equals(self.id()))
            .flatMap(member -> answerOf(member).stream())
            .map(Echo::beatSentAt)
            .sorted(Comparator.reverseOrder())
            .toList();
    return answers.size() < needed ? Optional.empty() : Optional.of(answers.get(needed - 1));
  }

  // Only recent answers count: a peer that died after it had shown a higher offset would otherwise
  // stop all others until the log is back.
  private boolean isBehind(long offset, Now now) {
    return echoes.values().stream().anyMatch(echo -> echo.offset() > offset && isRecent(echo, now));
  }

  private static boolean isRecent(Echo echo, Now now) {
    return now.since(echo.beatSentAt()).compareTo(VALIDITY) <= 0;
  }

  private boolean isSelf(Member member) {
    return member.incarnation() == self.incarnation();
  }

  private Optional<Echo> answerOf(Member member) {
    return Optional.ofNullable(echoes.get(member.id()))
        .filter(echo -> echo.incarnation() == member.incarnation());
  }

  private void confirm(Now at, Source source) {
    Now until = at.plus(VALIDITY);
    if (latest.isEmpty() || latest.get().validUntil().isBefore(until)) {
      latest = Optional.of(new Confirmation(until, source));
    }
  }
}
