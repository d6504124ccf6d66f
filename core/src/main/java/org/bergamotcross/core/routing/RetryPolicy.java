package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.kernel.ClockReading;

/**
 * Decides whether a request is retried after an attempt has ended, within a retry budget for each
 * pool.
 *
 * <pre>{@code
 * policy.onRequest(pool);
 * ...
 * switch (policy.decide(attempt, result, now)) {
 *   case RetryDecision.Retry retry -> scheduleIn(retry.delay());
 *   case RetryDecision.GiveUp giveUp -> handle.refuse(giveUp.refusal());
 *   case RetryDecision.Deliver ignored -> deliver(response);
 *   case RetryDecision.Drop ignored -> discard(request);
 * }
 * }</pre>
 */
public final class RetryPolicy {
  static final Duration BASE_DELAY = Duration.ofMillis(25);
  static final Duration MAX_DELAY = Duration.ofSeconds(1);
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int FIRST_SERVER_ERROR = 500;

  /**
   * An attempt that has ended.
   *
   * @param pool the pool
   * @param target the target
   * @param number the number of the attempt, from 1
   * @param maxAttempts the maximum number of attempts of the request
   * @param repeatability whether the request may be sent again
   * @param mayHaveRun whether an earlier attempt may have run; see {@link #mayHaveRun}
   * @param deadline when the caller stops waiting
   */
  public record EndedAttempt(
      PoolId pool,
      TargetId target,
      int number,
      int maxAttempts,
      Repeatability repeatability,
      boolean mayHaveRun,
      ClockReading deadline) {}

  /** The conditions under which a request may be sent again. */
  public enum Repeatability {
    /** Always: a repetition has no further effect. */
    IDEMPOTENT,
    /** Only if the target cannot have run it, because it must run at most once. */
    ONLY_IF_NOT_RUN,
    /** Only if no connection was opened, because its body was streamed and is not buffered. */
    BODY_NOT_REPLAYABLE
  }

  /**
   * The limits of the retry budget of a pool.
   *
   * @param retriesPerRequest the retries that each request adds to the budget
   * @param reserve the additional retries of all instances together; 0 for a fixed reserve of each
   *     instance, whatever their number
   */
  public record BudgetLimits(double retriesPerRequest, double reserve) {
    /** The limits of a fleet that configures none. */
    public static final BudgetLimits DEFAULT =
        new BudgetLimits(RetryBudget.DEFAULT_RETRIES_PER_REQUEST, 0);

    boolean isFleetWide() {
      return reserve > 0;
    }
  }

  /**
   * Leaves room for the first retry of each instance that restarts within one accounting window.
   */
  private static final double RESERVE_UTILIZATION = 0.75;

  /** Leaves room for the delay with which the receivers count the requests of a window. */
  private static final double SHARE_UTILIZATION = 0.9;

  private final UniformRandomProvider random;
  private final BudgetLimits limits;
  private final Map<PoolId, RetryBudget> budgets = new HashMap<>();
  private int instanceCount = 1;

  /**
   * Creates a policy with an initial budget for each pool.
   *
   * @param random the source of random numbers, seeded by the caller
   */
  public RetryPolicy(UniformRandomProvider random) {
    this(random, BudgetLimits.DEFAULT);
  }

  /**
   * Creates a policy with an initial budget for each pool.
   *
   * @param random the source of random numbers, seeded by the caller
   * @param limits the limits of the retry budgets
   */
  public RetryPolicy(UniformRandomProvider random, BudgetLimits limits) {
    this.random = random;
    this.limits = limits;
  }

  /**
   * Divides the fleet-wide reserve among the instances.
   *
   * @param count the number of instances, this one included
   */
  public void updateInstanceCount(int count) {
    instanceCount = Math.max(1, count);
    if (limits.isFleetWide()) {
      budgets.values().forEach(budget -> budget.updateMaxRetries(reservePerInstance()));
    }
  }

  private double reservePerInstance() {
    return limits.reserve() * RESERVE_UTILIZATION / instanceCount;
  }

  /**
   * Adds to the budget of a pool for a new request, but not for its further attempts. By default, a
   * tenth of the requests may be retried.
   *
   * @param pool the pool
   */
  public void onRequest(PoolId pool) {
    budget(pool).onRequest();
  }

  /**
   * Discards the budgets of pools that are no longer configured.
   *
   * @param pools the configured pools
   */
  public void retainPools(Collection<PoolId> pools) {
    budgets.keySet().retainAll(pools);
  }

  /**
   * Returns whether the target may have run the request of an attempt.
   *
   * @param result how the attempt ended
   * @return false only if no byte can have been sent or the target reported that it did not run the
   *     request
   */
  public static boolean mayHaveRun(SendResult result) {
    return switch (result) {
      case SendResult.ConnectFailed ignored -> false;
      case SendResult.Shed ignored -> false;
      case SendResult.Completed ignored -> true;
      case SendResult.Broken ignored -> true;
      case SendResult.TimedOut ignored -> true;
      case SendResult.Cancelled ignored -> true;
    };
  }

  /**
   * Decides what follows an attempt and takes a retry, if any, from the budget of the pool.
   *
   * @param attempt the attempt
   * @param result how it ended
   * @param now the current time
   * @return the action to take
   */
  public RetryDecision decide(EndedAttempt attempt, SendResult result, ClockReading now) {
    return switch (result) {
      case SendResult.Cancelled ignored -> new RetryDecision.Drop();
      case SendResult.TimedOut ignored ->
          new RetryDecision.GiveUp(new Refusal.DeadlineAfterSend(attempt.target().value()));
      case SendResult.Completed completed when !isRetryable(completed.status()) ->
          new RetryDecision.Deliver();
      case SendResult.Completed ignored ->
          tryRetry(attempt, result, now).orElseGet(RetryDecision.Deliver::new);
      case SendResult.Shed ignored -> retryOrGiveUp(attempt, result, now);
      case SendResult.ConnectFailed ignored -> retryOrGiveUp(attempt, result, now);
      case SendResult.Broken ignored -> retryOrGiveUp(attempt, result, now);
    };
  }

  private static boolean isRetryable(int status) {
    return status == TOO_MANY_REQUESTS || status >= FIRST_SERVER_ERROR;
  }

  private RetryDecision retryOrGiveUp(EndedAttempt attempt, SendResult result, ClockReading now) {
    return tryRetry(attempt, result, now)
        .orElseGet(() -> new RetryDecision.GiveUp(refusal(attempt, result, now)));
  }

  private Optional<RetryDecision> tryRetry(
      EndedAttempt attempt, SendResult result, ClockReading now) {
    if (!isRepeatable(attempt, result) || attempt.number() >= attempt.maxAttempts()) {
      return Optional.empty();
    }
    Duration delay = delay(attempt.number());
    if (!now.plus(delay).isBefore(attempt.deadline()) || !budget(attempt.pool()).tryTake()) {
      return Optional.empty();
    }
    return Optional.of(new RetryDecision.Retry(delay));
  }

  private static boolean isRepeatable(EndedAttempt attempt, SendResult result) {
    return switch (attempt.repeatability()) {
      case IDEMPOTENT -> true;
      case ONLY_IF_NOT_RUN -> !mayHaveRun(result);
      case BODY_NOT_REPLAYABLE -> result instanceof SendResult.ConnectFailed;
    };
  }

  /** Does not depend on a Retry-After, which holds for its target only; see TargetNotices. */
  private Duration delay(int number) {
    long limit = Math.min(MAX_DELAY.toNanos(), BASE_DELAY.toNanos() << (number - 1));
    return Duration.ofNanos(random.nextLong(limit));
  }

  private static Refusal refusal(EndedAttempt attempt, SendResult result, ClockReading now) {
    if (attempt.mayHaveRun() || mayHaveRun(result)) {
      return new Refusal.TargetFailed(attempt.target().value());
    }
    if (!now.isBefore(attempt.deadline())) {
      return new Refusal.DeadlineBeforeSend();
    }
    return result instanceof SendResult.Shed shed
        ? new Refusal.TargetRefused(attempt.target().value(), shed.retryAfter())
        : new Refusal.NoTarget(attempt.pool().value());
  }

  private RetryBudget budget(PoolId pool) {
    return budgets.computeIfAbsent(
        pool,
        id ->
            limits.isFleetWide()
                ? RetryBudget.fleetWide(
                    limits.retriesPerRequest() * SHARE_UTILIZATION, reservePerInstance())
                : new RetryBudget());
  }
}
