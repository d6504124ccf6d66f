package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.kernel.Now;

/**
 * Estimates how likely each target is in a failing phase, from few outcomes.
 *
 * <p>A target is modelled as a two-state process: in its sound state it fails rarely, in its
 * failing state most of the time, and it changes between them by itself. Each outcome is weighed by
 * Bayes' rule, and without outcomes the estimate returns to the usual share of failing targets. One
 * failure is thus enough to prefer other targets, and a target comes back without a fixed penalty
 * time.
 *
 * <p>A failure that the target itself reported counts for all instances. One that may lie on the
 * path from this instance to the target, such as a stall or a broken connection, counts in full for
 * this instance alone, and work that other instances get done does not refute it.
 */
public final class FailureRisk {
  /** How a target compares to what is usual. */
  public enum RiskLevel {
    /** Recent work went well. */
    LOW,
    /** Nothing recent is known, or what is known contradicts itself. */
    UNCERTAIN,
    /** Recent work failed. */
    HIGH
  }

  /** The usual share of time in the failing state. */
  static final double PRIOR_RISK = 0.2;

  /** The mean time in which an estimate without news returns to the usual share. */
  static final Duration DECAY_TIME_CONSTANT = Duration.ofSeconds(8);

  /** The estimate of a target that has just joined; it gets work at once. */
  static final double NEW_TARGET_RISK = 0.1;

  /** The share of requests that fail in each state. */
  static final double FAILURE_RATE_WHEN_FAILING = 0.7;

  static final double FAILURE_RATE_WHEN_HEALTHY = 0.02;

  /**
   * How much more likely a stall at a peer is when the target, not the peer's path, is at fault.
   */
  static final double STALL_LIKELIHOOD_RATIO = 4;

  /** Estimates below are sound, estimates above are failing. */
  static final double LOW_RISK_LIMIT = 0.13;

  static final double HIGH_RISK_LIMIT = 0.35;

  private static final double FAILURE_LIKELIHOOD_RATIO =
      FAILURE_RATE_WHEN_FAILING / FAILURE_RATE_WHEN_HEALTHY;
  private static final double SUCCESS_LIKELIHOOD_RATIO =
      (1 - FAILURE_RATE_WHEN_FAILING) / (1 - FAILURE_RATE_WHEN_HEALTHY);

  /** A sound target can have turned since its last answer. */
  private static final double MIN_RISK = 0.01;

  private record Estimate(double risk, Now updatedAt) {}

  private final Map<TargetId, Estimate> targetEstimates = new HashMap<>();
  private final Map<TargetId, Estimate> pathEstimates = new HashMap<>();

  /** Creates estimates without any outcome. */
  public FailureRisk() {}

  /**
   * Takes a request of this instance that a target completed.
   *
   * @param target the target
   * @param now the present time
   */
  public void recordSuccess(TargetId target, Now now) {
    update(targetEstimates, target, SUCCESS_LIKELIHOOD_RATIO, PRIOR_RISK, now);
    if (pathEstimates.containsKey(target)) {
      update(pathEstimates, target, SUCCESS_LIKELIHOOD_RATIO, 0, now);
    }
  }

  /**
   * Takes requests of a peer that a target completed.
   *
   * @param target the target
   * @param count the number of requests
   * @param now the present time
   */
  public void recordPeerSuccesses(TargetId target, int count, Now now) {
    update(targetEstimates, target, Math.pow(SUCCESS_LIKELIHOOD_RATIO, count), PRIOR_RISK, now);
  }

  /**
   * Takes a failure that the target itself has reported, to this instance or to a peer.
   *
   * @param target the target
   * @param now the present time
   */
  public void recordFailure(TargetId target, Now now) {
    update(targetEstimates, target, FAILURE_LIKELIHOOD_RATIO, PRIOR_RISK, now);
  }

  /**
   * Takes a request of this instance that stalled, or whose connection failed.
   *
   * @param target the target
   * @param now the present time
   */
  public void recordUnreachable(TargetId target, Now now) {
    update(targetEstimates, target, STALL_LIKELIHOOD_RATIO, PRIOR_RISK, now);
    pathEstimates.put(target, new Estimate(1 - MIN_RISK, now));
  }

  /**
   * Takes a request of a peer that stalled, or whose connection failed.
   *
   * @param target the target
   * @param now the present time
   */
  public void recordPeerUnreachable(TargetId target, Now now) {
    update(targetEstimates, target, STALL_LIKELIHOOD_RATIO, PRIOR_RISK, now);
  }

  private static void update(
      Map<TargetId, Estimate> estimates,
      TargetId target,
      double likelihoodRatio,
      double usual,
      Now now) {
    double before = Math.max(MIN_RISK, risk(estimates, target, usual, now));
    double weighted = before * likelihoodRatio;
    double after = weighted / (weighted + 1 - before);
    estimates.put(target, new Estimate(Math.clamp(after, MIN_RISK, 1 - MIN_RISK), now));
  }

  private static double risk(
      Map<TargetId, Estimate> estimates, TargetId target, double usual, Now now) {
    Estimate known = estimates.get(target);
    if (known == null) {
      return usual;
    }
    double forgotten =
        Math.exp(-now.since(known.updatedAt()).toNanos() / (double) DECAY_TIME_CONSTANT.toNanos());
    return usual + (known.risk() - usual) * forgotten;
  }

  /**
   * Returns the estimate for a target.
   *
   * @param target the target
   * @param now the present time
   * @return the probability that a request from here fails because of the target or its path, from
   *     0 to 1
   */
  public double risk(TargetId target, Now now) {
    return Math.max(
        risk(targetEstimates, target, PRIOR_RISK, now), risk(pathEstimates, target, 0, now));
  }

  /**
   * Returns the standing of a target.
   *
   * @param target the target
   * @param now the present time
   * @return what its estimate means for the choice
   */
  public RiskLevel riskLevel(TargetId target, Now now) {
    return riskLevel(risk(target, now));
  }

  /** Returns the standing that belongs to an estimate. */
  static RiskLevel riskLevel(double risk) {
    if (risk < LOW_RISK_LIMIT) {
      return RiskLevel.LOW;
    }
    return risk > HIGH_RISK_LIMIT ? RiskLevel.HIGH : RiskLevel.UNCERTAIN;
  }

  /**
   * Takes the targets that are configured now; new ones are tried at once, others are forgotten.
   *
   * @param targets the configured targets
   * @param now the present time
   */
  public void retainTargets(Collection<TargetId> targets, Now now) {
    targetEstimates.keySet().retainAll(targets);
    pathEstimates.keySet().retainAll(targets);
    targets.forEach(
        target -> targetEstimates.putIfAbsent(target, new Estimate(NEW_TARGET_RISK, now)));
  }
}
