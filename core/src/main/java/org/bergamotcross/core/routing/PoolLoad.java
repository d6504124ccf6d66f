package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.kernel.Now;

/**
 * Estimates the work of each target from all instances, by the requests that ended there.
 *
 * <p>One of many instances sees only its own requests in flight. What all of them completed in the
 * last seconds, times the usual duration, tells how many slots are taken on average.
 */
public final class PoolLoad {
  /** Reports of peers come every 1.5 s; a shorter time would follow their rhythm. */
  static final Duration RATE_TIME_CONSTANT = Duration.ofSeconds(3);

  /** Assumed until durations are known; within the usual range of short requests. */
  static final Duration DEFAULT_DURATION = Duration.ofMillis(400);

  private static final double EWMA_WEIGHT = 0.05;
  private static final double NANOS_PER_SECOND = 1e9;

  private static final class DecayingRate {
    private double perSecond;
    private Now updatedAt;

    private DecayingRate(Now at) {
      this.updatedAt = at;
    }

    private void add(int count, Now now) {
      perSecond = value(now) + count * NANOS_PER_SECOND / RATE_TIME_CONSTANT.toNanos();
      updatedAt = now;
    }

    private double value(Now now) {
      return perSecond
          * Math.exp(-now.since(updatedAt).toNanos() / (double) RATE_TIME_CONSTANT.toNanos());
    }
  }

  private final Map<TargetId, DecayingRate> completionRates = new HashMap<>();
  private final Map<PoolId, Double> meanSeconds = new HashMap<>();

  /** Creates an estimate without any request. */
  public PoolLoad() {}

  /**
   * Takes requests that ended at a target.
   *
   * @param target the target
   * @param count the number of requests, of this instance or of a peer
   * @param now the present time
   */
  public void recordCompletions(TargetId target, int count, Now now) {
    completionRates.computeIfAbsent(target, id -> new DecayingRate(now)).add(count, now);
  }

  /**
   * Takes the duration of a request of this instance.
   *
   * @param pool the pool
   * @param taken the time from the send to the head of the response
   */
  public void recordDuration(PoolId pool, Duration taken) {
    meanSeconds.merge(
        pool,
        taken.toNanos() / NANOS_PER_SECOND,
        (known, newest) -> known * (1 - EWMA_WEIGHT) + newest * EWMA_WEIGHT);
  }

  /**
   * Returns the slots of a target that are taken on average.
   *
   * @param pool its pool
   * @param target the target
   * @param now the present time
   * @return the average number of requests at work or queued there
   */
  public double occupiedSlots(PoolId pool, TargetId target, Now now) {
    DecayingRate rate = completionRates.get(target);
    double duration = meanSeconds.getOrDefault(pool, DEFAULT_DURATION.toNanos() / NANOS_PER_SECOND);
    return rate == null ? 0 : rate.value(now) * duration;
  }

  /**
   * Returns the slots of a pool that are taken on average.
   *
   * @param pool the pool
   * @param now the present time
   * @return the sum over its targets
   */
  public double occupiedSlots(Pool pool, Now now) {
    double sum = 0;
    for (Target target : pool.targets()) {
      sum += occupiedSlots(pool.id(), target.id(), now);
    }
    return sum;
  }

  /**
   * Tells whether durations of a pool are known, without which its load can't be told.
   *
   * @param pool the pool
   * @return whether a request of the pool has been answered
   */
  public boolean hasMeanDuration(PoolId pool) {
    return meanSeconds.containsKey(pool);
  }

  /**
   * Forgets targets that are not configured any more.
   *
   * @param targets the configured targets
   */
  public void retainTargets(Collection<TargetId> targets) {
    completionRates.keySet().retainAll(targets);
  }
}
