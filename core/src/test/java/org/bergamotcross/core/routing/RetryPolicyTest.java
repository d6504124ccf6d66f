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
import org.bergamotcross.kernel.Now;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {
  private static final int MAX_ATTEMPTS = 4;
  private static final Now NOW = Now.ofMillis(0);
  private static final Now DEADLINE = Now.ofMillis(5_000);
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
    // Guards against an order that is placed twice.
    @Test
    void aNonIdempotentRequestIsNotRepeatedOnceAByteMayHaveLeft() {
      EndedAttempt order = attempt(1, false, false);
      assertThat(refusal(policy.decide(order, BROKEN, NOW)).outcome())
          .isEqualTo(ExecutionOutcome.UNKNOWN);
      assertThat(policy.decide(order, completed(500), NOW)).isEqualTo(new RetryDecision.Deliver());
      // A target that says "not run" has had no effect, so another one may run the order.
      assertThat(isRetry(policy.decide(order, SHED, NOW))).isTrue();
      EndedAttempt last = attempt(MAX_ATTEMPTS, false, false);
      assertThat(refusal(policy.decide(last, SHED, NOW)).outcome())
          .isEqualTo(ExecutionOutcome.NOT_RUN);
      assertThat(isRetry(policy.decide(order, REFUSED, NOW))).isTrue();
    }

    // Guards against "not run" for a request of which an earlier attempt may have run.
    @Test
    void aRefusalCountsEarlierAttempts() {
      EndedAttempt last = attempt(MAX_ATTEMPTS, true, true);
      assertThat(refusal(policy.decide(last, SHED, NOW)).outcome())
          .isEqualTo(ExecutionOutcome.UNKNOWN);
      assertThat(refusal(policy.decide(last, REFUSED, NOW)).outcome())
          .isEqualTo(ExecutionOutcome.UNKNOWN);
    }
  }

  @Nested
  class Answers {
    // Guards against repeats of requests that are wrong in themselves.
    @Test
    void of4xxAreDeliveredExcept429() {
      assertThat(policy.decide(attempt(1, true, false), completed(404), NOW))
          .isEqualTo(new RetryDecision.Deliver());
      assertThat(isRetry(policy.decide(attempt(1, true, false), completed(429), NOW))).isTrue();
    }

    @Test
    void areDroppedWhenTheCallerIsGone() {
      assertThat(policy.decide(attempt(1, true, false), new SendResult.Cancelled(), NOW))
          .isEqualTo(new RetryDecision.Drop());
    }
  }

  @Nested
  class Time {
    // Guards against an attempt that starts after the caller has stopped waiting.
    @Test
    void endsAtTheDeadline() {
      assertThat(refusal(policy.decide(attempt(1, true, false), REFUSED, DEADLINE)))
          .isEqualTo(new Refusal.DeadlineBeforeSend());
      assertThat(refusal(policy.decide(attempt(1, true, false), new SendResult.TimedOut(), NOW)))
          .isEqualTo(new Refusal.DeadlineAfterSend("t1"));
    }

    // Guards against retries that ignore the target's wish.
    @Test
    void isAtLeastRetryAfter() {
      Duration wish = Duration.ofSeconds(2);
      SendResult shed = new SendResult.Shed(Optional.of(wish), false);
      RetryDecision decision = policy.decide(attempt(1, true, false), shed, NOW);
      assertThat(((RetryDecision.Retry) decision).delay()).isAtLeast(wish);
      SendResult tooLong = new SendResult.Shed(Optional.of(Duration.ofSeconds(6)), false);
      assertThat(refusal(policy.decide(attempt(1, true, false), tooLong, NOW)))
          .isEqualTo(new Refusal.TargetRefused("t1", Optional.of(Duration.ofSeconds(6))));
    }

    // Guards against retries in step: with full jitter the delays cover the whole interval.
    @Test
    void isSpreadOverTheWholeInterval() {
      Duration least = Duration.ofDays(1);
      Duration most = Duration.ZERO;
      for (int i = 0; i < 200; i++) {
        for (int requests = 0; requests < 50; requests++) {
          policy.onRequest(Fixtures.POOL);
        }
        RetryDecision decision = policy.decide(attempt(3, true, false), SHED, NOW);
        Duration delay = ((RetryDecision.Retry) decision).delay();
        least = delay.compareTo(least) < 0 ? delay : least;
        most = delay.compareTo(most) > 0 ? delay : most;
      }
      assertThat(least).isLessThan(RetryPolicy.BASE_DELAY.dividedBy(2));
      assertThat(most).isGreaterThan(RetryPolicy.BASE_DELAY.multipliedBy(3));
    }
  }

  @Nested
  @Group
  class Budget {
    // Guards against a retry storm: a target that answers 429 for ever gets at most the budget.
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

    // Guards against a recovered pool that is knocked over again by its own retries.
    @Test
    void refillsSlowlyAfterItWasUsedUp() {
      while (isRetry(policy.decide(attempt(1, true, false), SHED, NOW))) {
        // Uses up the first tokens.
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
