package org.bergamotcross.systemtest;

import static com.google.common.truth.Truth.assertThat;

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

/** Non-idempotent requests that a caller repeats at another instance, with real processes. */
class AtMostOnceFaultTest {
  private static final Duration LIMIT = Duration.ofSeconds(10);

  private Fleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = Fleet.start(2, 3, 1_000, 1_000);
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private void workTakes(Duration time) {
    fleet.target(0).setWorkTime(time);
    fleet.target(1).setWorkTime(time);
  }

  @Nested
  class RepeatAtAnotherInstance {
    @Test
    void getsTheFirstAnswer() throws Exception {
      Reply first = Fleet.await(fleet.order(fleet.entry(0), "order-1"));
      assertThat(first.status()).isEqualTo(200);
      Reply repeat = Fleet.await(fleet.order(fleet.entry(1), "order-1"));
      assertThat(repeat.status()).isEqualTo(200);
      assertThat(repeat.body()).isEqualTo(first.body());
      assertThat(fleet.executions("order-1")).isEqualTo(1);
    }

    // The caller gives up early and sends again while the first attempt still runs.
    @Test
    void isNotRunWhileTheFirstAttemptRuns() throws Exception {
      workTakes(Duration.ofSeconds(2));
      CompletableFuture<Reply> first = fleet.order(fleet.entry(0), "order-2");
      Await.until("the order runs", LIMIT, () -> fleet.executions("order-2") == 1);
      Reply repeat = Fleet.await(fleet.order(fleet.entry(1), "order-2"));
      assertThat(repeat.refusal()).isEqualTo("already-claimed");
      assertThat(repeat.outcome()).isEqualTo("unknown");
      assertThat(Fleet.await(first).status()).isEqualTo(200);
      assertThat(fleet.executions("order-2")).isEqualTo(1);
    }

    // The instance that sent the order dies before its answer arrives.
    @Test
    void isNotRunAfterTheFirstInstanceDied() throws Exception {
      workTakes(Duration.ofSeconds(1));
      CompletableFuture<Reply> first = fleet.order(fleet.entry(0), "order-3");
      Await.until("the order runs", LIMIT, () -> fleet.executions("order-3") == 1);
      fleet.entry(0).kill();
      assertThat(Fleet.await(first).isAnswered()).isFalse();
      for (int i = 1; i <= 2; i++) {
        Reply repeat = Fleet.await(fleet.order(fleet.entry(i), "order-3"));
        assertThat(repeat.isAnswered()).isFalse();
        assertThat(repeat.outcome()).isNotEqualTo("not-run");
      }
      assertThat(fleet.executions("order-3")).isEqualTo(1);
    }

    @Test
    void isNotRunDuringALogOutage() throws Exception {
      fleet.platform().injectFault(new PlatformFault.Outage(true));
      Reply first = Fleet.await(fleet.order(fleet.entry(0), "order-4"));
      Reply repeat = Fleet.await(fleet.order(fleet.entry(2), "order-4"));
      assertThat(first.status()).isEqualTo(200);
      assertThat(repeat.body()).isEqualTo(first.body());
      assertThat(fleet.executions("order-4")).isEqualTo(1);
    }
  }

  @Nested
  class OneKeyForTwoRequests {
    // A caller that uses a key twice must not get the answer to its other request.
    @Test
    void runsBoth() throws Exception {
      Reply first = Fleet.await(fleet.order(fleet.entry(0), "/team/orders/first", "order-5"));
      Reply second = Fleet.await(fleet.order(fleet.entry(1), "/team/orders/second", "order-5"));
      assertThat(first.status()).isEqualTo(200);
      assertThat(second.status()).isEqualTo(200);
      assertThat(fleet.executions("order-5")).isEqualTo(2);
    }
  }

  @Nested
  class PausedInstance {
    // The pause falls at different steps between claim and send; no step may allow two runs.
    @Test
    void runsNoOrderThatAnotherInstanceRan() throws Exception {
      List<CompletableFuture<Reply>> replies = new ArrayList<>();
      for (int round = 0; round < 6; round++) {
        String order = "order-paused-" + round;
        replies.add(fleet.order(fleet.entry(0), order));
        TimeUnit.MILLISECONDS.sleep(round);
        fleet.entry(0).pause();
        replies.add(fleet.order(fleet.entry(1), order));
        TimeUnit.MILLISECONDS.sleep(200);
        fleet.entry(0).resume();
      }
      for (CompletableFuture<Reply> reply : replies) {
        Fleet.await(reply);
      }
      for (int round = 0; round < 6; round++) {
        assertThat(fleet.executions("order-paused-" + round)).isAtMost(1);
      }
    }
  }
}
