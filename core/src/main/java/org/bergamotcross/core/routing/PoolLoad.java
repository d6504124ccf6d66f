package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.kernel.ClockReading;

/**
 * Estimates the load that all instances put on each target from its completed requests.
 *
 * <p>Each instance sees only its own requests in flight. By Little's law, the recent completion
 * rate of all instances times the mean duration is the mean number of occupied slots.
 */
public final class PoolLoad {
  /**
   * Peers report every 1.5 s; a shorter time constant would make the rate oscillate with the
   * reports.
   */
  static final Duration RATE_TIME_CONSTANT = Duration.ofSeconds(3);

  /** Assumed until durations are known; typical of short requests. */
  static final Duration DEFAULT_DURATION = Duration.ofMillis(400);

  private static final double EWMA_WEIGHT = 0.05;
  private static final double NANOS_PER_SECOND = 1e9;

  private static final class DecayingRate {
    private double perSecond;
    private ClockReading updatedAt;

    private DecayingRate(ClockReading at) {
      this.updatedAt = at;
    }

    private void add(int count, ClockReading now) {
      perSecond = value(now) + count * NANOS_PER_SECOND / RATE_TIME_CONSTANT.toNanos();
      updatedAt = now;
    }

    private double value(ClockReading now) {
      return perSecond
          * Math.exp(-now.since(updatedAt).toNanos() / (double) RATE_TIME_CONSTANT.toNanos());
    }
  }

  private final Map<TargetId, DecayingRate> completionRates = new HashMap<>();
  private final Map<PoolId, Double> meanSeconds = new HashMap<>();

  /** Creates an estimate without any completed request. */
  public PoolLoad() {}

  /**
   * Records requests that ended at a target.
   *
   * @param target the target
   * @param count the number of requests, of this instance or of a peer
   * @param now the current time
   */
  public void recordCompletions(TargetId target, int count, ClockReading now) {
    completionRates.computeIfAbsent(target, id -> new DecayingRate(now)).add(count, now);
  }

  /**
   * Records the duration of a request of this instance.
   *
   * @param pool the pool
   * @param duration the time from the send to the head of the response
   */
  public void recordDuration(PoolId pool, Duration duration) {
    meanSeconds.merge(
        pool,
        duration.toNanos() / NANOS_PER_SECOND,
        (known, newest) -> known * (1 - EWMA_WEIGHT) + newest * EWMA_WEIGHT);
  }

  /**
   * Estimates the mean number of occupied slots of a target.
   *
   * @param pool its pool
   * @param target the target
   * @param now the current time
   * @return the mean number of requests that run or are queued there
   */
  public double occupiedSlots(PoolId pool, TargetId target, ClockReading now) {
    double duration = meanSeconds.getOrDefault(pool, DEFAULT_DURATION.toNanos() / NANOS_PER_SECOND);
    return completionsPerSecond(target, now) * duration;
  }

  /**
   * Estimates the mean number of occupied slots of a pool.
   *
   * @param pool the pool
   * @param now the current time
   * @return the sum over its targets
   */
  public double occupiedSlots(Pool pool, ClockReading now) {
    double sum = 0;
    for (Target target : pool.targets()) {
      sum += occupiedSlots(pool.id(), target.id(), now);
    }
    return sum;
  }

  /**
   * Estimates the rate at which all instances complete requests of a pool.
   *
   * @param pool the pool
   * @param now the current time
   * @return requests per second
   */
  public double completionsPerSecond(Pool pool, ClockReading now) {
    double sum = 0;
    for (Target target : pool.targets()) {
      sum += completionsPerSecond(target.id(), now);
    }
    return sum;
  }

  private double completionsPerSecond(TargetId target, ClockReading now) {
    DecayingRate rate = completionRates.get(target);
    return rate == null ? 0 : rate.value(now);
  }

  /**
   * Returns whether a duration of the pool is known, without which its load cannot be estimated.
   *
   * @param pool the pool
   * @return whether a duration has been recorded
   */
  public boolean hasMeanDuration(PoolId pool) {
    return meanSeconds.containsKey(pool);
  }

  /**
   * Discards the rates of targets that are no longer configured.
   *
   * @param targets the configured targets
   */
  public void retainTargets(Collection<TargetId> targets) {
    completionRates.keySet().retainAll(targets);
  }
}
