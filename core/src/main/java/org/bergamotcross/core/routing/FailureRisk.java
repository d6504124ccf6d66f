package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
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
  static final double USUAL = 0.15;

  /** The mean time in which an estimate without news returns to the usual share. */
  static final Duration MEMORY = Duration.ofMillis(3_500);

  /** The share of requests that fail in each state. */
  static final double FAILS_WHEN_FAILING = 0.7;

  static final double FAILS_WHEN_SOUND = 0.02;

  /** Estimates below are sound, estimates above are failing. */
  static final double SOUND_BELOW = 0.13;

  static final double FAILING_ABOVE = 0.3;

  private static final double LEAST = 0.002;

  private record Estimate(double risk, Now at) {}

  private final Map<TargetId, Estimate> estimates = new HashMap<>();

  /** Creates estimates without any outcome. */
  public FailureRisk() {}

  /**
   * Takes requests that a target completed.
   *
   * @param target the target
   * @param count the number of requests
   * @param now the present time
   */
  public void succeeded(TargetId target, int count, Now now) {
    double ratio = Math.pow((1 - FAILS_WHEN_FAILING) / (1 - FAILS_WHEN_SOUND), count);
    learn(target, ratio, now);
  }

  /**
   * Takes a request that a target failed or did not answer in the usual time.
   *
   * @param target the target
   * @param now the present time
   */
  public void failed(TargetId target, Now now) {
    learn(target, FAILS_WHEN_FAILING / FAILS_WHEN_SOUND, now);
  }

  private void learn(TargetId target, double likelihoodRatio, Now now) {
    double before = risk(target, now);
    double weighted = before * likelihoodRatio;
    double after = weighted / (weighted + 1 - before);
    estimates.put(target, new Estimate(Math.clamp(after, LEAST, 1 - LEAST), now));
  }

  /**
   * Returns the estimate for a target.
   *
   * @param target the target
   * @param now the present time
   * @return the probability that it is in its failing state, from 0 to 1
   */
  public double risk(TargetId target, Now now) {
    Estimate known = estimates.get(target);
    if (known == null) {
      return USUAL;
    }
    double forgotten = Math.exp(-now.since(known.at()).toNanos() / (double) MEMORY.toNanos());
    return USUAL + (known.risk() - USUAL) * forgotten;
  }

  /**
   * Returns the standing of a target.
   *
   * @param target the target
   * @param now the present time
   * @return what its estimate means for the choice
   */
  public Standing standing(TargetId target, Now now) {
    double risk = risk(target, now);
    if (risk < SOUND_BELOW) {
      return Standing.SOUND;
    }
    return risk > FAILING_ABOVE ? Standing.FAILING : Standing.DOUBTFUL;
  }

  /**
   * Returns the age of the newest outcome of a target.
   *
   * @param target the target
   * @param now the present time
   * @return the time since the outcome was learned, or nothing when there was none
   */
  public Optional<Duration> silence(TargetId target, Now now) {
    return Optional.ofNullable(estimates.get(target)).map(known -> now.since(known.at()));
  }

  /**
   * Forgets targets that are not configured any more.
   *
   * @param targets the configured targets
   */
  public void retain(Collection<TargetId> targets) {
    estimates.keySet().retainAll(targets);
  }
}
