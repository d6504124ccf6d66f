package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.kernel.ClockReading;

/**
 * Decides when an idempotent request goes to a target that no instance has used for a while.
 *
 * <p>Answers a load for which a part of the pool suffices. Without such requests, the other targets
 * are never used: nobody learns whether they work, and all instances, which share their evidence,
 * leave out the same ones.
 */
final class UnusedTargetTrials {
  /** A target without an outcome for this long counts as unused. */
  static final Duration UNUSED_AFTER = Duration.ofSeconds(2);

  /**
   * The rate at which all instances together try an unused target. The outcome of a trial is known
   * to all within a second, so that about two instances try it at the same time.
   */
  static final double TRIALS_PER_SECOND = 3;

  private final FailureRisk risks;
  private final InFlightCounts inFlight;
  private final PoolLoad load;
  private final UniformRandomProvider random;

  UnusedTargetTrials(
      FailureRisk risks, InFlightCounts inFlight, PoolLoad load, UniformRandomProvider random) {
    this.risks = risks;
    this.inFlight = inFlight;
    this.load = load;
    this.random = random;
  }

  /**
   * Chooses an unused target for an idempotent request.
   *
   * @param pool the pool
   * @param eligible the targets that may get requests
   * @param now the current time
   * @return the target to try; empty for most requests
   */
  Optional<Target> choose(Pool pool, List<Target> eligible, ClockReading now) {
    List<Target> unused = eligible.stream().filter(target -> isUnused(target, now)).toList();
    if (unused.isEmpty()) {
      return Optional.empty();
    }
    double requestsPerSecond = Math.max(1, load.completionsPerSecond(pool, now));
    if (random.nextDouble() >= unused.size() * TRIALS_PER_SECOND / requestsPerSecond) {
      return Optional.empty();
    }
    return Optional.of(unused.get(random.nextInt(unused.size())));
  }

  private boolean isUnused(Target target, ClockReading now) {
    return inFlight.own(target.id()) == 0
        && risks.riskLevel(target.id(), now) == FailureRisk.RiskLevel.UNCERTAIN
        && risks
            .timeSinceOutcome(target.id(), now)
            .filter(time -> time.compareTo(UNUSED_AFTER) < 0)
            .isEmpty();
  }
}
