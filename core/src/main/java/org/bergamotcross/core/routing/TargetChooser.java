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
  static final Duration DEFAULT_SHED_COOLDOWN = Duration.ofMillis(100);

  /** A long Retry-After of one target must not take it out of use without any evidence. */
  static final Duration MAX_SHED_COOLDOWN = Duration.ofSeconds(2);

  /** The shortest time between two trials, so that one view can't start two of them. */
  static final Duration MIN_TRIAL_INTERVAL = Duration.ofSeconds(1);

  /**
   * The part of the slots that is taken on average in the targets that are chosen from; above it,
   * requests begin to queue because their work times differ.
   */
  static final double DESIRED_UTILIZATION = 0.5;

  /** The least part of a pool that is chosen from, so that a few targets don't get all work. */
  static final double MIN_CANDIDATE_SHARE = 0.6;

  /** Failing targets are used only when fewer than this part of the pool is left without them. */
  static final double MIN_SHARE_WITHOUT_HIGH_RISK = 0.35;

  /** How much more often a target in the own failure domain is drawn. */
  static final double LOCAL_WEIGHT = 4;

  /** The utilization of a target up to which being near counts. */
  static final double MAX_LOCAL_UTILIZATION = 0.55;

  private record Candidate(
      Target target, double weight, int inFlight, double risk, boolean isLocal) {}

  private final FailureDomain ownDomain;
  private final InFlightCounts inFlight;
  private final FailureRisk failureRisk;
  private final PoolLoad load;
  private final UniformRandomProvider random;
  private final Map<TargetId, Now> shedCooldownEnds = new HashMap<>();
  private final Map<TargetId, Now> trialCooldownEnds = new HashMap<>();

  /**
   * Creates a chooser.
   *
   * @param own the failure domain of the instance
   * @param inFlight the counts, kept by the caller
   * @param risks the estimates of the targets, kept by the caller
   * @param load the work of the targets, kept by the caller
   * @param random the source of random numbers, seeded by the caller
   */
  public TargetChooser(
      FailureDomain own,
      InFlightCounts inFlight,
      FailureRisk risks,
      PoolLoad load,
      UniformRandomProvider random) {
    this.ownDomain = own;
    this.inFlight = inFlight;
    this.failureRisk = risks;
    this.load = load;
    this.random = random;
  }

  /**
   * Chooses a target; the caller counts the attempt in {@link InFlightCounts#onAttemptStarted}.
   *
   * @param pool the pool
   * @param health the status of the targets
   * @param idempotent whether the request may be repeated; only such requests try ejected targets
   * @param previous the target of the failed attempt, which is used only when there is no other
   * @param now the present time
   * @return the target, or why there is none
   */
  public TargetChoice choose(
      Pool pool, HealthView health, boolean idempotent, Optional<TargetId> previous, Now now) {
    Optional<Target> trial =
        idempotent ? findTrialTarget(pool, health, previous, now) : Optional.empty();
    if (trial.isPresent()) {
      trialCooldownEnds.put(trial.get().id(), now.plus(MIN_TRIAL_INTERVAL));
      return new TargetChoice.Chosen(trial.get(), true, inFlight.total(trial.get().id(), now));
    }
    List<Candidate> eligible = eligibleCandidates(pool, health, previous, now);
    if (eligible.isEmpty() && previous.isPresent()) {
      eligible = eligibleCandidates(pool, health, Optional.empty(), now);
    }
    if (eligible.isEmpty()) {
      return isAnyAvailable(pool, health)
          ? new TargetChoice.AllBusy()
          : new TargetChoice.NoneAvailable();
    }
    eligible = keepLowestRisk(pool, eligible, now);
    Candidate first = drawWeighted(eligible);
    eligible.remove(first);
    Candidate best = eligible.isEmpty() ? first : lessLoaded(first, drawWeighted(eligible));
    return new TargetChoice.Chosen(best.target(), false, best.inFlight());
  }

  /**
   * Notes that a target shed a request, so that it is left alone for a moment.
   *
   * @param target the target
   * @param retryAfter when the target wants to be asked again
   * @param now the present time
   */
  public void onShed(TargetId target, Optional<Duration> retryAfter, Now now) {
    Duration wished = retryAfter.orElse(DEFAULT_SHED_COOLDOWN);
    Duration pause = wished.compareTo(MAX_SHED_COOLDOWN) > 0 ? MAX_SHED_COOLDOWN : wished;
    shedCooldownEnds.put(target, now.plus(pause));
  }

  private Optional<Target> findTrialTarget(
      Pool pool, HealthView health, Optional<TargetId> previous, Now now) {
    return pool.targets().stream()
        .filter(target -> health.status(target.id()) instanceof TargetStatus.Trial)
        .filter(target -> inFlight.own(target.id()) == 0)
        .filter(target -> isCooldownOver(trialCooldownEnds, target.id(), now))
        .filter(target -> previous.isEmpty())
        .findFirst();
  }

  private List<Candidate> eligibleCandidates(
      Pool pool, HealthView health, Optional<TargetId> excluded, Now now) {
    List<Candidate> eligible = new ArrayList<>(pool.targets().size());
    for (Target target : pool.targets()) {
      if (health.status(target.id()) instanceof TargetStatus.Available inUse
          && !excluded.equals(Optional.of(target.id()))
          && isCooldownOver(shedCooldownEnds, target.id(), now)) {
        int known = inFlight.total(target.id(), now);
        if (known < pool.slots()) {
          boolean isNear = isLocal(pool, target, now);
          // All instances of a domain together can overload near targets whose load is unknown.
          boolean isDrawnMore = isNear && load.hasMeanDuration(pool.id());
          double weight = inUse.weight() * (isDrawnMore ? LOCAL_WEIGHT : 1);
          eligible.add(
              new Candidate(target, weight, known, failureRisk.risk(target.id(), now), isNear));
        }
      }
    }
    return eligible;
  }

  /**
   * Keeps the candidates of the least risk: all sound ones, and as many others as the work of the
   * pool needs.
   *
   * <p>The others are tried again in this way. An estimate that has returned to what is usual is
   * needed as soon as too few targets are sound.
   */
  private List<Candidate> keepLowestRisk(Pool pool, List<Candidate> eligible, Now now) {
    int size = pool.targets().size();
    double forLoad = load.occupiedSlots(pool, now) / (pool.slots() * DESIRED_UTILIZATION);
    double wanted = Math.max(forLoad, size * MIN_CANDIDATE_SHARE);
    List<Candidate> byRisk = new ArrayList<>(eligible);
    byRisk.sort(Comparator.comparingDouble(Candidate::risk));
    List<Candidate> kept = new ArrayList<>(byRisk.size());
    for (Candidate candidate : byRisk) {
      boolean needed =
          switch (FailureRisk.riskLevel(candidate.risk())) {
            case LOW -> true;
            case UNCERTAIN -> kept.size() < wanted;
            case HIGH -> kept.size() < size * MIN_SHARE_WITHOUT_HIGH_RISK;
          };
      if (needed || kept.isEmpty() || kept.getLast().risk() == candidate.risk()) {
        kept.add(candidate);
      }
    }
    return kept;
  }

  private static boolean isCooldownOver(Map<TargetId, Now> ends, TargetId target, Now now) {
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

  /** Bytes between failure domains cost, and the way is longer; a busy near target is no gain. */
  private boolean isLocal(Pool pool, Target target, Now now) {
    return target.failureDomain().equals(ownDomain)
        && load.occupiedSlots(pool.id(), target.id(), now) <= pool.slots() * MAX_LOCAL_UTILIZATION;
  }

  private static boolean isAnyAvailable(Pool pool, HealthView health) {
    return pool.targets().stream()
        .anyMatch(target -> health.status(target.id()) instanceof TargetStatus.Available);
  }

  private Candidate drawWeighted(List<Candidate> candidates) {
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

  private static Candidate lessLoaded(Candidate first, Candidate second) {
    if (first.inFlight() != second.inFlight()) {
      return first.inFlight() < second.inFlight() ? first : second;
    }
    return second.isLocal() && !first.isLocal() ? second : first;
  }
}
