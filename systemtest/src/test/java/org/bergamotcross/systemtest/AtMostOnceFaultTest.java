package org.bergamotcross.systemtest;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bergamotcross.standin.PlatformFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a non-idempotent request that is executed twice because its caller retries it at
 * another instance. Each instance is a process of its own, so that a test can kill or pause it.
 */
class AtMostOnceFaultTest {
  private static final Duration CONDITION_TIMEOUT = Duration.ofSeconds(10);

  private ProcessFleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = ProcessFleet.start(2, 3, 1_000, 1_000);
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private void setWorkTime(Duration time) {
    fleet.target(0).setWorkTime(time);
    fleet.target(1).setWorkTime(time);
  }

  /** Waits until an order runs; fails with the response when it was answered without running. */
  private void awaitExecution(String key, CompletableFuture<CallerResponse> response)
      throws Exception {
    Await.until(
        key + " runs or is answered",
        CONDITION_TIMEOUT,
        () -> fleet.executionCount(key) == 1 || response.isDone());
    assertWithMessage(
            "executions of %s, response %s",
            key, response.thenApply(Object::toString).getNow("none yet"))
        .that(fleet.executionCount(key))
        .isEqualTo(1);
  }

  @Nested
  class RetryAtAnotherInstance {
    // Guards against an instance that executes a completed order again instead of asking the
    // holders of its claim for the stored response.
    @Test
    void receivesTheStoredResponse() throws Exception {
      CallerResponse first = ProcessFleet.await(fleet.postOrder(fleet.entry(0), "order-1"));
      assertThat(first.status()).isEqualTo(200);
      CallerResponse retry = ProcessFleet.await(fleet.postOrder(fleet.entry(1), "order-1"));
      assertThat(retry.status()).isEqualTo(200);
      assertThat(retry.body()).isEqualTo(first.body());
      assertThat(fleet.executionCount("order-1")).isEqualTo(1);
    }

    // Guards against a second execution when the caller gives up early and retries while the first
    // attempt is still running at the target.
    @Test
    void isNotExecutedWhileTheFirstAttemptRuns() throws Exception {
      setWorkTime(Duration.ofSeconds(2));
      CompletableFuture<CallerResponse> first = fleet.postOrder(fleet.entry(0), "order-2");
      awaitExecution("order-2", first);
      CallerResponse retry = ProcessFleet.await(fleet.postOrder(fleet.entry(1), "order-2"));
      assertThat(retry.refusalCode()).isEqualTo("already-claimed");
      assertThat(retry.outcome()).isEqualTo("unknown");
      assertThat(ProcessFleet.await(first).status()).isEqualTo(200);
      assertThat(fleet.executionCount("order-2")).isEqualTo(1);
    }

    // Guards against a second execution when the instance that sent the order crashes before the
    // target responds. The outcome is unknown then, and must not be reported as "not-run".
    @Test
    void isNotExecutedAfterTheFirstInstanceCrashed() throws Exception {
      setWorkTime(Duration.ofSeconds(1));
      CompletableFuture<CallerResponse> first = fleet.postOrder(fleet.entry(0), "order-3");
      awaitExecution("order-3", first);
      fleet.entry(0).kill();
      assertThat(ProcessFleet.await(first).isOk()).isFalse();
      for (int i = 1; i <= 2; i++) {
        CallerResponse retry = ProcessFleet.await(fleet.postOrder(fleet.entry(i), "order-3"));
        assertThat(retry.isOk()).isFalse();
        assertThat(retry.outcome()).isNotEqualTo("not-run");
      }
      assertThat(fleet.executionCount("order-3")).isEqualTo(1);
    }

    // Guards against claims that depend on the control log: while it is unavailable, the holders
    // alone must recognise the retry.
    @Test
    void isNotExecutedDuringALogOutage() throws Exception {
      fleet.platform().injectFault(new PlatformFault.Outage(true));
      CallerResponse first = ProcessFleet.await(fleet.postOrder(fleet.entry(0), "order-4"));
      CallerResponse retry = ProcessFleet.await(fleet.postOrder(fleet.entry(2), "order-4"));
      assertThat(first.status()).isEqualTo(200);
      assertThat(retry.body()).isEqualTo(first.body());
      assertThat(fleet.executionCount("order-4")).isEqualTo(1);
    }
  }

  @Nested
  class IdempotencyKeyReusedForAnotherPath {
    // Guards against a claim that ignores the path: a caller that reuses an idempotency key for
    // another request must not receive the response to the first one.
    @Test
    void executesBothRequests() throws Exception {
      CallerResponse first =
          ProcessFleet.await(fleet.postOrder(fleet.entry(0), "/team/orders/first", "order-5"));
      CallerResponse second =
          ProcessFleet.await(fleet.postOrder(fleet.entry(1), "/team/orders/second", "order-5"));
      assertThat(first.status()).isEqualTo(200);
      assertThat(second.status()).isEqualTo(200);
      assertThat(fleet.executionCount("order-5")).isEqualTo(2);
    }
  }

  @Nested
  class PausedInstance {
    // Guards against an order that two instances execute because one of them is paused between
    // claim and send. Each round pauses the instance at a different step.
    @Test
    void doesNotExecuteAnOrderTwice() throws Exception {
      List<CompletableFuture<CallerResponse>> responses = new ArrayList<>();
      for (int round = 0; round < 6; round++) {
        String order = "order-paused-" + round;
        responses.add(fleet.postOrder(fleet.entry(0), order));
        TimeUnit.MILLISECONDS.sleep(round);
        fleet.entry(0).pause();
        responses.add(fleet.postOrder(fleet.entry(1), order));
        TimeUnit.MILLISECONDS.sleep(200);
        fleet.entry(0).resume();
      }
      for (CompletableFuture<CallerResponse> response : responses) {
        ProcessFleet.await(response);
      }
      for (int round = 0; round < 6; round++) {
        assertThat(fleet.executionCount("order-paused-" + round)).isAtMost(1);
      }
    }
  }
}
