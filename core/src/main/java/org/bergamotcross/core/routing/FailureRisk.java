package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.kernel.ClockReading;

/**
 * Estimates the probability that each target is in a failing state, from few outcomes.
 *
 * <p>A target is modelled as a two-state process: requests fail rarely in the healthy state and
 * mostly in the failing state, and the target changes state spontaneously. Each outcome updates the
 * estimate by Bayes' rule; without outcomes, the estimate decays to the prior. One failure is thus
 * enough to prefer other targets, and a target returns without a fixed penalty time.
 *
 * <p>A failure that the target itself reported counts for all instances. One that may be caused by
 * the path from this instance to the target, such as a stall or a broken connection, counts in full
 * for this instance only, and successes of other instances do not refute it.
 */
public final class FailureRisk {
  /** The level of the failure risk of a target. */
  public enum RiskLevel {
    /** Recent requests succeeded. */
    LOW,
    /** There are no recent outcomes, or they contradict each other. */
    UNCERTAIN,
    /** Recent requests failed. */
    HIGH
  }

  /**
   * What is assumed about failing targets.
   *
   * @param prior the prior probability of the failing state
   * @param failureRateWhenFailing the share of requests that fail in the failing state
   * @param failureRateWhenHealthy the share of requests that fail in the healthy state
   * @param decayTime the time constant with which an estimate without outcomes decays to the prior
   */
  public record Assumptions(
      double prior,
      double failureRateWhenFailing,
      double failureRateWhenHealthy,
      Duration decayTime) {
    /** The assumptions of an instance. */
    public static final Assumptions DEFAULT =
        new Assumptions(
            PRIOR_RISK, FAILURE_RATE_WHEN_FAILING, FAILURE_RATE_WHEN_HEALTHY, DECAY_TIME_CONSTANT);

    private double failureLikelihoodRatio() {
      return failureRateWhenFailing / failureRateWhenHealthy;
    }

    private double successLikelihoodRatio() {
      return (1 - failureRateWhenFailing) / (1 - failureRateWhenHealthy);
    }
  }

  /** The prior probability of the failing state. */
  static final double PRIOR_RISK = 0.2;

  /**
   * The time constant with which an estimate without outcomes decays to the prior. With 8 s, a
   * target that had failed once got no requests for 12 s, long after it had recovered, and less
   * than 0.7 of the sound targets of a pool were in use.
   */
  static final Duration DECAY_TIME_CONSTANT = Duration.ofSeconds(3);

  /** The risk of a new target; it is low, so that the target gets requests at once. */
  static final double NEW_TARGET_RISK = 0.1;

  /** The share of requests that fail in the failing state. */
  static final double FAILURE_RATE_WHEN_FAILING = 0.7;

  /** The share of requests that fail in the healthy state. */
  static final double FAILURE_RATE_WHEN_HEALTHY = 0.02;

  /**
   * The likelihood ratio of a stall, or of a failed connection: a faulty target against a sound
   * target behind a faulty path.
   */
  static final double STALL_LIKELIHOOD_RATIO = 4;

  /** Risks below this limit are low. */
  static final double LOW_RISK_LIMIT = 0.13;

  /** Risks above this limit are high. A single failure keeps a target above it for 3 s. */
  static final double HIGH_RISK_LIMIT = 0.45;

  /** Keeps an estimate from certainty: a target may have failed since its last response. */
  private static final double MIN_RISK = 0.01;

  private record Estimate(double risk, ClockReading updatedAt) {}

  private final Assumptions assumptions;
  private final Map<TargetId, Estimate> targetEstimates = new HashMap<>();
  private final Map<TargetId, Estimate> pathEstimates = new HashMap<>();

  /** Creates an estimator without any outcome. */
  public FailureRisk() {
    this(Assumptions.DEFAULT);
  }

  /**
   * Creates an estimator without any outcome.
   *
   * @param assumptions what is assumed about failing targets
   */
  public FailureRisk(Assumptions assumptions) {
    this.assumptions = assumptions;
  }

  /**
   * Records a request of this instance that a target completed.
   *
   * @param target the target
   * @param now the current time
   */
  public void recordSuccess(TargetId target, ClockReading now) {
    update(targetEstimates, target, assumptions.successLikelihoodRatio(), assumptions.prior(), now);
    if (pathEstimates.containsKey(target)) {
      update(pathEstimates, target, assumptions.successLikelihoodRatio(), 0, now);
    }
  }

  /**
   * Records requests of a peer that a target completed.
   *
   * @param target the target
   * @param count the number of requests
   * @param now the current time
   */
  public void recordPeerSuccesses(TargetId target, int count, ClockReading now) {
    update(
        targetEstimates,
        target,
        Math.pow(assumptions.successLikelihoodRatio(), count),
        assumptions.prior(),
        now);
  }

  /**
   * Records a failure that the target itself reported to this instance or to a peer.
   *
   * @param target the target
   * @param now the current time
   */
  public void recordFailure(TargetId target, ClockReading now) {
    update(targetEstimates, target, assumptions.failureLikelihoodRatio(), assumptions.prior(), now);
  }

  /**
   * Records a request of this instance that stalled or whose connection failed.
   *
   * @param target the target
   * @param now the current time
   */
  public void recordUnreachable(TargetId target, ClockReading now) {
    update(targetEstimates, target, STALL_LIKELIHOOD_RATIO, assumptions.prior(), now);
    pathEstimates.put(target, new Estimate(1 - MIN_RISK, now));
  }

  /**
   * Records a request of a peer that stalled or whose connection failed.
   *
   * @param target the target
   * @param now the current time
   */
  public void recordPeerUnreachable(TargetId target, ClockReading now) {
    update(targetEstimates, target, STALL_LIKELIHOOD_RATIO, assumptions.prior(), now);
  }

  private void update(
      Map<TargetId, Estimate> estimates,
      TargetId target,
      double likelihoodRatio,
      double prior,
      ClockReading now) {
    double priorRisk = Math.max(MIN_RISK, risk(estimates, target, prior, now));
    double weightedRisk = priorRisk * likelihoodRatio;
    double posterior = weightedRisk / (weightedRisk + 1 - priorRisk);
    estimates.put(target, new Estimate(Math.clamp(posterior, MIN_RISK, 1 - MIN_RISK), now));
  }

  private double risk(
      Map<TargetId, Estimate> estimates, TargetId target, double prior, ClockReading now) {
    Estimate known = estimates.get(target);
    if (known == null) {
      return prior;
    }
    double decay =
        Math.exp(
            -now.since(known.updatedAt()).toNanos() / (double) assumptions.decayTime().toNanos());
    return prior + (known.risk() - prior) * decay;
  }

  /**
   * Returns the failure risk of a target.
   *
   * @param target the target
   * @param now the current time
   * @return the probability that a request from here fails because of the target or its path, from
   *     0 to 1
   */
  public double risk(TargetId target, ClockReading now) {
    return Math.max(
        risk(targetEstimates, target, assumptions.prior(), now),
        risk(pathEstimates, target, 0, now));
  }

  /**
   * Returns the time since the last known outcome of a target, of any instance.
   *
   * @param target the target
   * @param now the current time
   * @return the time, empty if there was none
   */
  public Optional<Duration> timeSinceOutcome(TargetId target, ClockReading now) {
    return Optional.ofNullable(targetEstimates.get(target))
        .map(estimate -> now.since(estimate.updatedAt()));
  }

  /**
   * Returns the risk level of a target.
   *
   * @param target the target
   * @param now the current time
   * @return the level of its failure risk
   */
  public RiskLevel riskLevel(TargetId target, ClockReading now) {
    return riskLevel(risk(target, now));
  }

  /** Returns the level of a risk. */
  static RiskLevel riskLevel(double risk) {
    if (risk < LOW_RISK_LIMIT) {
      return RiskLevel.LOW;
    }
    return risk > HIGH_RISK_LIMIT ? RiskLevel.HIGH : RiskLevel.UNCERTAIN;
  }

  /**
   * Adds estimates for newly configured targets, which start at low risk, and discards those of
   * removed ones.
   *
   * @param targets the configured targets
   * @param now the current time
   */
  public void retainTargets(Collection<TargetId> targets, ClockReading now) {
    targetEstimates.keySet().retainAll(targets);
    pathEstimates.keySet().retainAll(targets);
    targets.forEach(
        target -> targetEstimates.putIfAbsent(target, new Estimate(NEW_TARGET_RISK, now)));
  }
}
