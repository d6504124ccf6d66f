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
  public enum Standing {
    /** Recent work went well. */
    SOUND,
    /** Nothing recent is known, or what is known contradicts itself. */
    DOUBTFUL,
    /** Recent work failed. */
    FAILING
  }

  /** The usual share of time in the failing state. */
  static final double USUAL = 0.2;

  /** The mean time in which an estimate without news returns to the usual share. */
  static final Duration MEMORY = Duration.ofSeconds(8);

  /** The estimate of a target that has just joined; it gets work at once. */
  static final double JOINING = 0.1;

  /** The share of requests that fail in each state. */
  static final double FAILS_WHEN_FAILING = 0.7;

  static final double FAILS_WHEN_SOUND = 0.02;

  /**
   * How much more likely a stall at a peer is when the target, not the peer's path, is at fault.
   */
  static final double PEER_STALL_RATIO = 4;

  /** Estimates below are sound, estimates above are failing. */
  static final double SOUND_BELOW = 0.13;

  static final double FAILING_ABOVE = 0.35;

  private static final double FAILURE_RATIO = FAILS_WHEN_FAILING / FAILS_WHEN_SOUND;
  private static final double SUCCESS_RATIO = (1 - FAILS_WHEN_FAILING) / (1 - FAILS_WHEN_SOUND);

  /** A sound target can have turned since its last answer. */
  private static final double LEAST = 0.01;

  private record Estimate(double risk, Now at) {}

  private final Map<TargetId, Estimate> ofTargets = new HashMap<>();
  private final Map<TargetId, Estimate> ofPaths = new HashMap<>();

  /** Creates estimates without any outcome. */
  public FailureRisk() {}

  /**
   * Takes a request of this instance that a target completed.
   *
   * @param target the target
   * @param now the present time
   */
  public void succeeded(TargetId target, Now now) {
    learn(ofTargets, target, SUCCESS_RATIO, USUAL, now);
    if (ofPaths.containsKey(target)) {
      learn(ofPaths, target, SUCCESS_RATIO, 0, now);
    }
  }

  /**
   * Takes requests of a peer that a target completed.
   *
   * @param target the target
   * @param count the number of requests
   * @param now the present time
   */
  public void peerSucceeded(TargetId target, int count, Now now) {
    learn(ofTargets, target, Math.pow(SUCCESS_RATIO, count), USUAL, now);
  }

  /**
   * Takes a failure that the target itself has reported, to this instance or to a peer.
   *
   * @param target the target
   * @param now the present time
   */
  public void failed(TargetId target, Now now) {
    learn(ofTargets, target, FAILURE_RATIO, USUAL, now);
  }

  /**
   * Takes a request of this instance that stalled, or whose connection failed.
   *
   * @param target the target
   * @param now the present time
   */
  public void unreachable(TargetId target, Now now) {
    learn(ofTargets, target, PEER_STALL_RATIO, USUAL, now);
    ofPaths.put(target, new Estimate(1 - LEAST, now));
  }

  /**
   * Takes a request of a peer that stalled, or whose connection failed.
   *
   * @param target the target
   * @param now the present time
   */
  public void peerUnreachable(TargetId target, Now now) {
    learn(ofTargets, target, PEER_STALL_RATIO, USUAL, now);
  }

  private static void learn(
      Map<TargetId, Estimate> estimates,
      TargetId target,
      double likelihoodRatio,
      double usual,
      Now now) {
    double before = Math.max(LEAST, risk(estimates, target, usual, now));
    double weighted = before * likelihoodRatio;
    double after = weighted / (weighted + 1 - before);
    estimates.put(target, new Estimate(Math.clamp(after, LEAST, 1 - LEAST), now));
  }

  private static double risk(
      Map<TargetId, Estimate> estimates, TargetId target, double usual, Now now) {
    Estimate known = estimates.get(target);
    if (known == null) {
      return usual;
    }
    double forgotten = Math.exp(-now.since(known.at()).toNanos() / (double) MEMORY.toNanos());
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
    return Math.max(risk(ofTargets, target, USUAL, now), risk(ofPaths, target, 0, now));
  }

  /**
   * Returns the standing of a target.
   *
   * @param target the target
   * @param now the present time
   * @return what its estimate means for the choice
   */
  public Standing standing(TargetId target, Now now) {
    return standing(risk(target, now));
  }

  /** Returns the standing that belongs to an estimate. */
  static Standing standing(double risk) {
    if (risk < SOUND_BELOW) {
      return Standing.SOUND;
    }
    return risk > FAILING_ABOVE ? Standing.FAILING : Standing.DOUBTFUL;
  }

  /**
   * Takes the targets that are configured now; new ones are tried at once, others are forgotten.
   *
   * @param targets the configured targets
   * @param now the present time
   */
  public void retain(Collection<TargetId> targets, Now now) {
    ofTargets.keySet().retainAll(targets);
    ofPaths.keySet().retainAll(targets);
    targets.forEach(target -> ofTargets.putIfAbsent(target, new Estimate(JOINING, now)));
  }
}
