package org.bergamotcross.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bergamotcross.core.admission.ExecutionOutcome;
import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.core.routing.RetryPolicy.EndedAttempt;
import org.bergamotcross.core.routing.RetryPolicy.Repeatability;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {
  private static final int MAX_ATTEMPTS = 4;
  private static final ClockReading NOW = ClockReading.ofMillis(0);
  private static final ClockReading DEADLINE = ClockReading.ofMillis(5_000);
  private static final SendResult SHED = new SendResult.Shed(Optional.empty(), false);
  private static final SendResult BROKEN = new SendResult.Broken();
  private static final SendResult REFUSED = new SendResult.ConnectFailed();

  private final RetryPolicy policy = new RetryPolicy(Fixtures.random(3));

  private static EndedAttempt attempt(int number, boolean idempotent, boolean mayHaveRun) {
    return new EndedAttempt(
        Fixtures.POOL,
        Fixtures.id(1),
        number,
        MAX_ATTEMPTS,
        idempotent ? Repeatability.IDEMPOTENT : Repeatability.ONLY_IF_NOT_RUN,
        mayHaveRun,
        DEADLINE);
  }

  private static SendResult completed(int status) {
    return new SendResult.Completed(status, false);
  }

  private static Refusal refusal(RetryDecision decision) {
    return ((RetryDecision.GiveUp) decision).refusal();
  }

  private static boolean isRetry(RetryDecision decision) {
    return decision instanceof RetryDecision.Retry;
  }

  @Nested
  class AtMostOnce {
    // Guards against a non-idempotent request, such as an order, that runs twice.
    @Test
    void aNonIdempotentRequestIsNotRetriedAfterAByteMayHaveBeenSent() {
      EndedAttempt order = attempt(1, false, false);
      assertThat(refusal(policy.decide(order, BROKEN, NOW)).outcome())
          .isEqualTo(ExecutionOutcome.UNKNOWN);
      assertThat(policy.decide(order, completed(500), NOW)).isEqualTo(new RetryDecision.Deliver());
      // A target that reports "not run" had no effect, so another one may run the order.
      assertThat(isRetry(policy.decide(order, SHED, NOW))).isTrue();
      EndedAttempt last = attempt(MAX_ATTEMPTS, false, false);
      assertThat(refusal(policy.decide(last, SHED, NOW)).outcome())
          .isEqualTo(ExecutionOutcome.NOT_RUN);
      assertThat(isRetry(policy.decide(order, REFUSED, NOW))).isTrue();
    }

    // Guards against the outcome "not run" for a request that an earlier attempt may have run.
    @Test
    void aRefusalReflectsEarlierAttempts() {
      EndedAttempt last = attempt(MAX_ATTEMPTS, true, true);
      assertThat(refusal(policy.decide(last, SHED, NOW)).outcome())
          .isEqualTo(ExecutionOutcome.UNKNOWN);
      assertThat(refusal(policy.decide(last, REFUSED, NOW)).outcome())
          .isEqualTo(ExecutionOutcome.UNKNOWN);
    }
  }

  @Nested
  class Responses {
    // Guards against retries of requests that are invalid themselves.
    @Test
    void withStatus4xxAreDeliveredExcept429() {
      assertThat(policy.decide(attempt(1, true, false), completed(404), NOW))
          .isEqualTo(new RetryDecision.Deliver());
      assertThat(isRetry(policy.decide(attempt(1, true, false), completed(429), NOW))).isTrue();
    }

    @Test
    void areDroppedWhenTheCallerHasDisconnected() {
      assertThat(policy.decide(attempt(1, true, false), new SendResult.Cancelled(), NOW))
          .isEqualTo(new RetryDecision.Drop());
    }
  }

  @Nested
  class Delay {
    // Guards against an attempt that starts after the caller has stopped waiting.
    @Test
    void doesNotPassTheDeadline() {
      assertThat(refusal(policy.decide(attempt(1, true, false), REFUSED, DEADLINE)))
          .isEqualTo(new Refusal.DeadlineBeforeSend());
      assertThat(refusal(policy.decide(attempt(1, true, false), new SendResult.TimedOut(), NOW)))
          .isEqualTo(new Refusal.DeadlineAfterSend("t1"));
    }

    // Guards against a request that waits for the pause of one target while others are free.
    // TargetChooserTest checks that the target gets nothing before its pause ends.
    @Test
    void doesNotWaitForThePauseOfTheTargetThatRejected() {
      SendResult shed = new SendResult.Shed(Optional.of(Duration.ofSeconds(2)), false);
      RetryDecision decision = policy.decide(attempt(1, true, false), shed, NOW);
      assertThat(((RetryDecision.Retry) decision).delay()).isLessThan(RetryPolicy.BASE_DELAY);
    }

    // Guards against a refusal without the time at which the rejecting target takes requests again.
    @Test
    void isNotTriedAfterTheLastAttempt() {
      SendResult shed = new SendResult.Shed(Optional.of(Duration.ofSeconds(6)), false);
      assertThat(refusal(policy.decide(attempt(MAX_ATTEMPTS, true, false), shed, NOW)))
          .isEqualTo(new Refusal.TargetRefused("t1", Optional.of(Duration.ofSeconds(6))));
    }

    // Guards against synchronized retries: with full jitter, the delays cover the whole interval.
    @Test
    void isSpreadOverTheWholeInterval() {
      Duration shortest = Duration.ofDays(1);
      Duration longest = Duration.ZERO;
      for (int i = 0; i < 200; i++) {
        for (int requests = 0; requests < 50; requests++) {
          policy.onRequest(Fixtures.POOL);
        }
        RetryDecision decision = policy.decide(attempt(3, true, false), SHED, NOW);
        Duration delay = ((RetryDecision.Retry) decision).delay();
        shortest = delay.compareTo(shortest) < 0 ? delay : shortest;
        longest = delay.compareTo(longest) > 0 ? delay : longest;
      }
      assertThat(shortest).isLessThan(RetryPolicy.BASE_DELAY.dividedBy(2));
      assertThat(longest).isGreaterThan(RetryPolicy.BASE_DELAY.multipliedBy(3));
    }
  }

  @Nested
  @Group
  class Budget {
    // Guards against a retry storm: a target that always responds with 429 gets at most the budget.
    @Property(seed = "429", tries = 50)
    void isATenthOfTheRequests(@ForAll @IntRange(min = 1, max = 2_000) int requests) {
      RetryPolicy fresh = new RetryPolicy(Fixtures.random(9));
      int retries = 0;
      for (int i = 0; i < requests; i++) {
        fresh.onRequest(Fixtures.POOL);
        int number = 1;
        while (isRetry(fresh.decide(attempt(number, true, false), completed(429), NOW))) {
          retries++;
          number++;
        }
      }
      assertThat((double) retries)
          .isAtMost(
              RetryBudget.INITIAL_RETRIES + RetryBudget.DEFAULT_RETRIES_PER_REQUEST * requests);
      assertThat(retries).isAtLeast(1);
    }

    // Guards against retries that overload a pool again while it recovers.
    @Test
    void refillsSlowlyAfterExhaustion() {
      while (isRetry(policy.decide(attempt(1, true, false), SHED, NOW))) {
        // Exhausts the initial budget.
      }
      int retries = 0;
      for (int i = 0; i < 200; i++) {
        policy.onRequest(Fixtures.POOL);
        retries += isRetry(policy.decide(attempt(1, true, false), SHED, NOW)) ? 1 : 0;
      }
      assertThat(retries).isEqualTo(5);
    }
  }
}
