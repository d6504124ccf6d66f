package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.kernel.Now;

/**
 * Chooses the target of an attempt: of two random eligible targets of the best standing the one
 * with fewer known requests in flight.
 *
 * <pre>{@code
 * switch (chooser.choose(pool, health, idempotent, Optional.empty(), now)) {
 *   case Choice.Chosen chosen -> send(chosen.target());
 *   case Choice.Busy ignored -> queue.offer(...);
 *   case Choice.NoneInUse ignored -> handle.refuse(new Refusal.NoTarget(pool.id().value()));
 * }
 * }</pre>
 */
public final class TargetChooser {
  /** Without it a target that sheds at once looks idle and draws most of the requests. */
  static final Duration SHED_PAUSE = Duration.ofMillis(100);

  /** A long Retry-After of one target must not take it out of use without any evidence. */
  static final Duration SHED_PAUSE_LIMIT = Duration.ofSeconds(2);

  /** The shortest time between two trials, so that one view can't start two of them. */
  static final Duration TRIAL_PAUSE = Duration.ofSeconds(1);

  /** How long a target of doubtful standing is left alone by requests that may be repeated. */
  static final Duration EXPLORE_AFTER = Duration.ofMillis(1_500);

  /** The same for requests that may not be repeated, because a failure of theirs is final. */
  static final Duration EXPLORE_AFTER_NOT_IDEMPOTENT = Duration.ofMillis(3_500);

  /** The share of requests that explore; all instances together learn within a second or two. */
  static final double EXPLORE_SHARE = 0.08;

  static final double EXPLORE_SHARE_NOT_IDEMPOTENT = 0.03;

  private record Candidate(Target target, double weight, int inFlight) {}

  private final FailureDomain own;
  private final InFlightCounts inFlight;
  private final FailureRisk risks;
  private final UniformRandomProvider random;
  private final Map<TargetId, Now> shedUntil = new HashMap<>();
  private final Map<TargetId, Now> trialUntil = new HashMap<>();

  /**
   * Creates a chooser.
   *
   * @param own the failure domain of the instance
   * @param inFlight the counts, kept by the caller
   * @param risks the estimates of the targets, kept by the caller
   * @param random the source of random numbers, seeded by the caller
   */
  public TargetChooser(
      FailureDomain own, InFlightCounts inFlight, FailureRisk risks, UniformRandomProvider random) {
    this.own = own;
    this.inFlight = inFlight;
    this.risks = risks;
    this.random = random;
  }

  /**
   * Chooses a target; the caller counts the attempt in {@link InFlightCounts#started}.
   *
   * @param pool the pool
   * @param health the status of the targets
   * @param idempotent whether the request may be repeated; only such requests try ejected targets
   * @param previous the target of the failed attempt, which is used only when there is no other
   * @param now the present time
   * @return the target, or why there is none
   */
  public Choice choose(
      Pool pool, HealthView health, boolean idempotent, Optional<TargetId> previous, Now now) {
    Optional<Target> trial = idempotent ? trial(pool, health, previous, now) : Optional.empty();
    if (trial.isPresent()) {
      trialUntil.put(trial.get().id(), now.plus(TRIAL_PAUSE));
      return new Choice.Chosen(trial.get(), true, inFlight.known(trial.get().id(), now));
    }
    List<Candidate> eligible = eligible(pool, health, previous, now);
    if (eligible.isEmpty() && previous.isPresent()) {
      eligible = eligible(pool, health, Optional.empty(), now);
    }
    if (eligible.isEmpty()) {
      return anyInUse(pool, health) ? new Choice.Busy() : new Choice.NoneInUse();
    }
    Optional<Candidate> explored = explore(eligible, idempotent && previous.isEmpty(), now);
    if (explored.isPresent()) {
      return new Choice.Chosen(explored.get().target(), false, explored.get().inFlight());
    }
    eligible = bestStanding(eligible, now);
    Candidate first = draw(eligible);
    eligible.remove(first);
    Candidate best = eligible.isEmpty() ? first : better(first, draw(eligible));
    return new Choice.Chosen(best.target(), false, best.inFlight());
  }

  /**
   * Notes that a target shed a request, so that it is left alone for a moment.
   *
   * @param target the target
   * @param retryAfter when the target wants to be asked again
   * @param now the present time
   */
  public void shed(TargetId target, Optional<Duration> retryAfter, Now now) {
    Duration wished = retryAfter.orElse(SHED_PAUSE);
    Duration pause = wished.compareTo(SHED_PAUSE_LIMIT) > 0 ? SHED_PAUSE_LIMIT : wished;
    shedUntil.put(target, now.plus(pause));
  }

  private Optional<Target> trial(
      Pool pool, HealthView health, Optional<TargetId> previous, Now now) {
    return pool.targets().stream()
        .filter(target -> health.status(target.id()) instanceof TargetStatus.Trial)
        .filter(target -> inFlight.own(target.id()) == 0)
        .filter(target -> isOver(trialUntil, target.id(), now))
        .filter(target -> previous.isEmpty())
        .findFirst();
  }

  private List<Candidate> eligible(
      Pool pool, HealthView health, Optional<TargetId> excluded, Now now) {
    List<Candidate> eligible = new ArrayList<>(pool.targets().size());
    for (Target target : pool.targets()) {
      if (health.status(target.id()) instanceof TargetStatus.InUse inUse
          && !excluded.equals(Optional.of(target.id()))
          && isOver(shedUntil, target.id(), now)) {
        int known = inFlight.known(target.id(), now);
        if (known < pool.slots()) {
          eligible.add(new Candidate(target, inUse.weight(), known));
        }
      }
    }
    return eligible;
  }

  /** Sends a few requests to targets of which nothing recent is known, so that they come back. */
  private Optional<Candidate> explore(List<Candidate> eligible, boolean idempotent, Now now) {
    double share = idempotent ? EXPLORE_SHARE : EXPLORE_SHARE_NOT_IDEMPOTENT;
    boolean hasSound =
        eligible.stream().anyMatch(c -> standing(c, now) == FailureRisk.Standing.SOUND);
    if (!hasSound || random.nextDouble() >= share) {
      return Optional.empty();
    }
    Duration after = idempotent ? EXPLORE_AFTER : EXPLORE_AFTER_NOT_IDEMPOTENT;
    List<Candidate> doubtful =
        eligible.stream()
            .filter(c -> standing(c, now) == FailureRisk.Standing.DOUBTFUL)
            .filter(
                c ->
                    risks
                        .silence(c.target().id(), now)
                        .filter(silence -> silence.compareTo(after) < 0)
                        .isEmpty())
            .toList();
    return doubtful.isEmpty()
        ? Optional.empty()
        : Optional.of(doubtful.get(random.nextInt(doubtful.size())));
  }

  /** Keeps the candidates of the best standing; a busy one of them was left out before. */
  private List<Candidate> bestStanding(List<Candidate> eligible, Now now) {
    FailureRisk.Standing best =
        eligible.stream()
            .map(candidate -> standing(candidate, now))
            .min(Comparator.naturalOrder())
            .orElse(FailureRisk.Standing.DOUBTFUL);
    List<Candidate> kept = new ArrayList<>(eligible);
    kept.removeIf(candidate -> standing(candidate, now) != best);
    return kept;
  }

  private FailureRisk.Standing standing(Candidate candidate, Now now) {
    return risks.standing(candidate.target().id(), now);
  }

  private static boolean isOver(Map<TargetId, Now> ends, TargetId target, Now now) {
    Now end = ends.get(target);
    if (end == null) {
      return true;
    }
    if (now.isBefore(end)) {
      return false;
    }
    ends.remove(target);
    return true;
  }

  private static boolean anyInUse(Pool pool, HealthView health) {
    return pool.targets().stream()
        .anyMatch(target -> health.status(target.id()) instanceof TargetStatus.InUse);
  }

  private Candidate draw(List<Candidate> candidates) {
    double total = 0;
    for (Candidate candidate : candidates) {
      total += candidate.weight();
    }
    double left = random.nextDouble() * total;
    for (Candidate candidate : candidates) {
      left -= candidate.weight();
      if (left < 0) {
        return candidate;
      }
    }
    return candidates.getLast();
  }

  private Candidate better(Candidate first, Candidate second) {
    if (first.inFlight() != second.inFlight()) {
      return first.inFlight() < second.inFlight() ? first : second;
    }
    boolean secondIsNear = second.target().failureDomain().equals(own);
    return secondIsNear && !first.target().failureDomain().equals(own) ? second : first;
  }
}
