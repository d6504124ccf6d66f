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
  static final Duration TIME_CONSTANT = Duration.ofSeconds(3);

  /** Assumed until durations are known; within the usual range of short requests. */
  static final Duration FIRST_DURATION = Duration.ofMillis(400);

  private static final double NEWEST_SHARE = 0.05;
  private static final double NANOS = 1e9;

  private static final class Rate {
    private double perSecond;
    private Now at;

    private Rate(Now at) {
      this.at = at;
    }

    private void add(int count, Now now) {
      perSecond = value(now) + count * NANOS / TIME_CONSTANT.toNanos();
      at = now;
    }

    private double value(Now now) {
      return perSecond * Math.exp(-now.since(at).toNanos() / (double) TIME_CONSTANT.toNanos());
    }
  }

  private final Map<TargetId, Rate> rates = new HashMap<>();
  private final Map<PoolId, Double> seconds = new HashMap<>();

  /** Creates an estimate without any request. */
  public PoolLoad() {}

  /**
   * Takes requests that ended at a target.
   *
   * @param target the target
   * @param count the number of requests, of this instance or of a peer
   * @param now the present time
   */
  public void ended(TargetId target, int count, Now now) {
    rates.computeIfAbsent(target, id -> new Rate(now)).add(count, now);
  }

  /**
   * Takes the duration of a request of this instance.
   *
   * @param pool the pool
   * @param taken the time from the send to the head of the response
   */
  public void took(PoolId pool, Duration taken) {
    seconds.merge(
        pool,
        taken.toNanos() / NANOS,
        (known, newest) -> known * (1 - NEWEST_SHARE) + newest * NEWEST_SHARE);
  }

  /**
   * Returns the slots of a target that are taken on average.
   *
   * @param pool its pool
   * @param target the target
   * @param now the present time
   * @return the average number of requests at work or queued there
   */
  public double slotsTaken(PoolId pool, TargetId target, Now now) {
    Rate rate = rates.get(target);
    double duration = seconds.getOrDefault(pool, FIRST_DURATION.toNanos() / NANOS);
    return rate == null ? 0 : rate.value(now) * duration;
  }

  /**
   * Returns the slots of a pool that are taken on average.
   *
   * @param pool the pool
   * @param now the present time
   * @return the sum over its targets
   */
  public double slotsTaken(Pool pool, Now now) {
    double sum = 0;
    for (Target target : pool.targets()) {
      sum += slotsTaken(pool.id(), target.id(), now);
    }
    return sum;
  }

  /**
   * Tells whether durations of a pool are known, without which its load can't be told.
   *
   * @param pool the pool
   * @return whether a request of the pool has been answered
   */
  public boolean isKnown(PoolId pool) {
    return seconds.containsKey(pool);
  }

  /**
   * Forgets targets that are not configured any more.
   *
   * @param targets the configured targets
   */
  public void retain(Collection<TargetId> targets) {
    rates.keySet().retainAll(targets);
  }
}
