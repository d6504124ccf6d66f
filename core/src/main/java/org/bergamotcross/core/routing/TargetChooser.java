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
import org.bergamotcross.kernel.ClockReading;

/**
 * Chooses the target of an attempt by power of two choices: draws two candidates from the eligible
 * targets of the lowest failure risk and takes the one with fewer known requests in flight.
 *
 * <pre>{@code
 * switch (chooser.choose(pool, health, idempotent, Optional.empty(), now)) {
 *   case TargetChoice.Chosen chosen -> send(chosen.target());
 *   case TargetChoice.AllBusy ignored -> queue.offer(...);
 *   case TargetChoice.AllPaused paused -> refuse(new Refusal.TargetsPaused(...));
 *   case TargetChoice.NoneAvailable ignored -> refuse(new Refusal.NoTarget(pool.id().value()));
 * }
 * }</pre>
 */
public final class TargetChooser {
  /** Keeps one health view from starting two trials of the same target. */
  static final Duration MIN_TRIAL_INTERVAL = Duration.ofSeconds(1);

  /**
   * The desired mean share of occupied slots among the candidates; above it, requests begin to
   * queue because their durations vary.
   */
  static final double DESIRED_UTILIZATION = 0.5;

  /**
   * The minimum share of a pool that remains eligible, so that a few targets do not get all the
   * load.
   */
  static final double MIN_CANDIDATE_SHARE = 0.6;

  /**
   * High-risk targets are eligible only while other candidates make up less than this share of the
   * pool.
   */
  static final double MIN_SHARE_WITHOUT_HIGH_RISK = 0.35;

  /** Relative weight of a target in the same failure domain. */
  static final double LOCAL_WEIGHT = 4;

  /** The utilization up to which a target in the same failure domain is preferred. */
  static final double MAX_LOCAL_UTILIZATION = 0.55;

  /**
   * The limits of a choice.
   *
   * @param desiredUtilization the desired mean share of occupied slots among the candidates
   * @param minCandidateShare the minimum share of a pool that remains eligible
   * @param minShareWithoutHighRisk the share of the pool above which no high-risk target is
   *     eligible
   * @param localWeight the relative weight of a target in the same failure domain
   */
  public record Limits(
      double desiredUtilization,
      double minCandidateShare,
      double minShareWithoutHighRisk,
      double localWeight) {
    /** The limits of an instance. */
    public static final Limits DEFAULT =
        new Limits(
            DESIRED_UTILIZATION, MIN_CANDIDATE_SHARE, MIN_SHARE_WITHOUT_HIGH_RISK, LOCAL_WEIGHT);
  }

  private record Candidate(
      Target target, double weight, int inFlight, double risk, boolean isLocal) {}

  private final FailureDomain ownDomain;
  private final InFlightCounts inFlight;
  private final FailureRisk failureRisk;
  private final PoolLoad load;
  private final TargetNotices notices;
  private final UnusedTargetTrials unusedTrials;
  private final UniformRandomProvider random;
  private final Limits limits;
  private final Map<TargetId, ClockReading> trialCooldownEnds = new HashMap<>();

  /**
   * Creates a chooser.
   *
   * @param ownDomain the failure domain of this instance
   * @param inFlight the requests in flight, updated by the caller
   * @param failureRisk the failure risk of the targets, updated by the caller
   * @param load the load of the targets, updated by the caller
   * @param notices what the targets announced, updated by the caller
   * @param random the source of random numbers, seeded by the caller
   */
  public TargetChooser(
      FailureDomain ownDomain,
      InFlightCounts inFlight,
      FailureRisk failureRisk,
      PoolLoad load,
      TargetNotices notices,
      UniformRandomProvider random) {
    this(ownDomain, inFlight, failureRisk, load, notices, random, Limits.DEFAULT);
  }

  /**
   * Creates a chooser with limits of its own.
   *
   * @param ownDomain the failure domain of this instance
   * @param inFlight the requests in flight, updated by the caller
   * @param failureRisk the failure risk of the targets, updated by the caller
   * @param load the load of the targets, updated by the caller
   * @param notices what the targets announced, updated by the caller
   * @param random the source of random numbers, seeded by the caller
   * @param limits the limits of a choice
   */
  public TargetChooser(
      FailureDomain ownDomain,
      InFlightCounts inFlight,
      FailureRisk failureRisk,
      PoolLoad load,
      TargetNotices notices,
      UniformRandomProvider random,
      Limits limits) {
    this.limits = limits;
    this.ownDomain = ownDomain;
    this.inFlight = inFlight;
    this.failureRisk = failureRisk;
    this.load = load;
    this.notices = notices;
    this.unusedTrials = new UnusedTargetTrials(failureRisk, inFlight, load, random);
    this.random = random;
  }

  /**
   * Chooses a target. The caller reports the attempt to {@link InFlightCounts#onAttemptStarted}.
   *
   * @param pool the pool
   * @param health the status of the targets
   * @param idempotent whether the request may be repeated; only such requests serve as trial
   *     requests
   * @param previous the target of the failed attempt, which is chosen only when no other is
   *     eligible
   * @param now the current time
   * @return the chosen target, or the reason for which there is none
   */
  public TargetChoice choose(
      Pool pool,
      HealthView health,
      boolean idempotent,
      Optional<TargetId> previous,
      ClockReading now) {
    Optional<Target> trial =
        idempotent ? findTrialTarget(pool, health, previous, now) : Optional.empty();
    if (trial.isPresent()) {
      trialCooldownEnds.put(trial.get().id(), now.plus(MIN_TRIAL_INTERVAL));
      return new TargetChoice.Chosen(
          trial.get(), TargetChoice.Reason.TRIAL, inFlight.total(trial.get().id(), now));
    }
    List<Candidate> eligible = eligibleCandidates(pool, health, previous, now);
    if (eligible.isEmpty() && previous.isPresent()) {
      eligible = eligibleCandidates(pool, health, Optional.empty(), now);
    }
    if (eligible.isEmpty()) {
      return explainEmptyChoice(pool, health, now);
    }
    Optional<Target> unused =
        idempotent && previous.isEmpty()
            ? unusedTrials.choose(pool, withFullWeight(eligible, health), now)
            : Optional.empty();
    if (unused.isPresent()) {
      return new TargetChoice.Chosen(
          unused.get(), TargetChoice.Reason.UNUSED, inFlight.total(unused.get().id(), now));
    }
    eligible = keepLowestRisk(pool, eligible, now);
    Candidate first = drawWeighted(eligible);
    eligible.remove(first);
    Candidate best = eligible.isEmpty() ? first : lessLoaded(first, drawWeighted(eligible));
    return new TargetChoice.Chosen(
        best.target(), TargetChoice.Reason.FEWEST_IN_FLIGHT, best.inFlight());
  }

  /** Leaves out targets that ramp up, because their weight already limits their requests. */
  private static List<Target> withFullWeight(List<Candidate> eligible, HealthView health) {
    return eligible.stream()
        .map(Candidate::target)
        .filter(
            target ->
                health.status(target.id()) instanceof TargetStatus.Available available
                    && available.weight() >= 1)
        .toList();
  }

  private Optional<Target> findTrialTarget(
      Pool pool, HealthView health, Optional<TargetId> previous, ClockReading now) {
    return pool.targets().stream()
        .filter(target -> health.status(target.id()) instanceof TargetStatus.Trial)
        .filter(target -> inFlight.own(target.id()) == 0)
        .filter(target -> isTrialCooldownOver(target.id(), now))
        .filter(target -> notices.notice(target, now).isEmpty())
        .filter(target -> previous.isEmpty())
        .findFirst();
  }

  private List<Candidate> eligibleCandidates(
      Pool pool, HealthView health, Optional<TargetId> excluded, ClockReading now) {
    List<Candidate> eligible = new ArrayList<>(pool.targets().size());
    for (Target target : pool.targets()) {
      if (health.status(target.id()) instanceof TargetStatus.Available available
          && !excluded.equals(Optional.of(target.id()))
          && notices.notice(target, now).isEmpty()) {
        int count = inFlight.total(target.id(), now);
        if (count < pool.slots()) {
          boolean isLocal = isLocal(pool, target, now);
          // All instances of a domain together could overload local targets of unknown load.
          boolean isPreferred = isLocal && load.hasMeanDuration(pool.id());
          double weight = available.weight() * (isPreferred ? limits.localWeight() : 1);
          eligible.add(
              new Candidate(target, weight, count, failureRisk.risk(target.id(), now), isLocal));
        }
      }
    }
    return eligible;
  }

  /**
   * Keeps the candidates of the lowest risk: all low-risk ones, and as many others as the load of
   * the pool needs.
   *
   * <p>This is how the others get requests again: a target whose risk has decayed to the prior is
   * used as soon as there are too few low-risk targets.
   */
  private List<Candidate> keepLowestRisk(Pool pool, List<Candidate> eligible, ClockReading now) {
    int size = pool.targets().size();
    double neededForLoad =
        load.occupiedSlots(pool, now) / (pool.slots() * limits.desiredUtilization());
    double minCount = Math.max(neededForLoad, size * limits.minCandidateShare());
    List<Candidate> byRisk = new ArrayList<>(eligible);
    byRisk.sort(Comparator.comparingDouble(Candidate::risk));
    List<Candidate> kept = new ArrayList<>(byRisk.size());
    for (Candidate candidate : byRisk) {
      boolean needed =
          switch (FailureRisk.riskLevel(candidate.risk())) {
            case LOW -> true;
            case UNCERTAIN -> kept.size() < minCount;
            case HIGH -> kept.size() < size * limits.minShareWithoutHighRisk();
          };
      if (needed || kept.isEmpty() || kept.getLast().risk() == candidate.risk()) {
        kept.add(candidate);
      }
    }
    return kept;
  }

  private boolean isTrialCooldownOver(TargetId target, ClockReading now) {
    ClockReading end = trialCooldownEnds.get(target);
    return end == null || !now.isBefore(end);
  }

  /**
   * Returns whether a target is in the own failure domain and not too busy to be preferred.
   *
   * <p>Traffic between failure domains costs money and time, but a busy local target is no gain.
   */
  private boolean isLocal(Pool pool, Target target, ClockReading now) {
    return target.failureDomain().equals(ownDomain)
        && load.occupiedSlots(pool.id(), target.id(), now) <= pool.slots() * MAX_LOCAL_UTILIZATION;
  }

  /**
   * Tells why no target is eligible: a request waits for a busy target, but a target that asked for
   * a pause does not become usable before its end.
   */
  private TargetChoice explainEmptyChoice(Pool pool, HealthView health, ClockReading now) {
    Optional<ClockReading> firstPauseEnd = Optional.empty();
    for (Target target : pool.targets()) {
      if (health.status(target.id()) instanceof TargetStatus.Available) {
        Optional<TargetNotice> notice = notices.notice(target, now);
        if (notice.isEmpty()) {
          return new TargetChoice.AllBusy();
        }
        if (notice.get() instanceof TargetNotice.Paused paused
            && firstPauseEnd.filter(end -> !paused.until().isBefore(end)).isEmpty()) {
          firstPauseEnd = Optional.of(paused.until());
        }
      }
    }
    return firstPauseEnd
        .<TargetChoice>map(TargetChoice.AllPaused::new)
        .orElseGet(TargetChoice.NoneAvailable::new);
  }

  private Candidate drawWeighted(List<Candidate> candidates) {
    double total = 0;
    for (Candidate candidate : candidates) {
      total += candidate.weight();
    }
    double remaining = random.nextDouble() * total;
    for (Candidate candidate : candidates) {
      remaining -= candidate.weight();
      if (remaining < 0) {
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
