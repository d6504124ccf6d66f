package org.bergamotcross.systemtest;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bergamotcross.standin.InstanceListEntry;
import org.bergamotcross.standin.TargetFault;
import org.bergamotcross.standin.TargetStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against exceeded rate limits, requests sent to failing targets, and requests lost during a
 * graceful shutdown, all under load. Each instance is a process of its own, so that a test can kill
 * or stop it.
 */
class TrafficFaultTest {
  private static final Duration CONDITION_TIMEOUT = Duration.ofSeconds(10);

  private ProcessFleet fleet;

  @AfterEach
  void stop() {
    fleet.close();
  }

  private List<CompletableFuture<CallerResponse>> sendLoad(int requests, Duration interval)
      throws Exception {
    List<CompletableFuture<CallerResponse>> responses = new ArrayList<>();
    for (int i = 0; i < requests; i++) {
      responses.add(fleet.getAsync(fleet.entry(i % fleet.entries().size()), ProcessFleet.KEY));
      TimeUnit.NANOSECONDS.sleep(interval.toNanos());
    }
    return responses;
  }

  private static int countOk(List<CompletableFuture<CallerResponse>> responses) throws Exception {
    int ok = 0;
    for (CompletableFuture<CallerResponse> response : responses) {
      ok += ProcessFleet.await(response).isOk() ? 1 : 0;
    }
    return ok;
  }

  @Nested
  class RateLimit {
    // Guards against a rate that is exceeded when an instance is replaced: the new process must not
    // start with a full burst, and the share of the lost one must not be handed out twice.
    @Test
    void isEnforcedAcrossTheFleetWhileAnInstanceIsReplaced() throws Exception {
      double rate = 20;
      double burst = 10;
      fleet = ProcessFleet.start(3, 3, rate, burst);
      long before = fleet.executionCount();
      long startedAt = System.nanoTime();
      List<CompletableFuture<CallerResponse>> responses = sendLoad(200, Duration.ofMillis(10));
      fleet.entry(0).kill();
      fleet.restart(0);
      responses.addAll(sendLoad(400, Duration.ofMillis(10)));
      countOk(responses);
      double seconds = (System.nanoTime() - startedAt) / 1e9;
      assertThat((double) (fleet.executionCount() - before)).isAtMost(rate * seconds + burst);
      assertThat(fleet.executionCount() - before).isAtLeast((long) (rate * 2));
    }

    // Guards against refusals below the rate when traffic is uneven: all requests arrive at one
    // instance, at 90 % of the rate of the whole fleet.
    @Test
    void refusesNoRequestBelowTheRateInAHealthyFleet() throws Exception {
      fleet = ProcessFleet.start(3, 3, 50, 20);
      TimeUnit.SECONDS.sleep(4);
      List<CompletableFuture<CallerResponse>> responses = new ArrayList<>();
      for (int i = 0; i < 225; i++) {
        responses.add(fleet.getAsync(fleet.entry(1), ProcessFleet.KEY));
        TimeUnit.MILLISECONDS.sleep(22);
      }
      assertThat(countOk(responses)).isEqualTo(225);
    }
  }

  @Nested
  class Targets {
    // Guards against a gray failure that stays undetected: the health endpoint of the target
    // responds while its requests stall.
    @Test
    void areEjectedByAllInstancesWhenTheyStall() throws Exception {
      fleet = ProcessFleet.start(4, 3, 1_000, 1_000);
      countOk(sendLoad(60, Duration.ofMillis(10)));
      fleet.targetInUse().injectFault(new TargetFault.Stall());
      sendLoad(100, Duration.ofMillis(20));
      for (EntryProcess entry : fleet.entries()) {
        Await.until(
            entry.id() + " logs the ejection",
            CONDITION_TIMEOUT,
            () -> entry.readLogLines().stream().anyMatch(l -> l.contains("event=target.ejected")));
      }
      long startedAt = System.nanoTime();
      assertThat(countOk(sendLoad(60, Duration.ofMillis(10)))).isEqualTo(60);
      assertThat(System.nanoTime() - startedAt).isLessThan(CONDITION_TIMEOUT.toNanos());
    }

    // Guards against requests sent to a target that is being removed. The specified bound is 4 s
    // after the platform lists it as leaving.
    @Test
    void receiveNoNewRequestsOnceTheyLeave() throws Exception {
      fleet = ProcessFleet.start(3, 3, 1_000, 1_000);
      countOk(sendLoad(30, Duration.ofMillis(10)));
      int index = fleet.indexOfTargetInUse();
      TargetStandin leaving = fleet.target(index);
      String address = "127.0.0.1:" + leaving.address().getPort();
      fleet
          .platform()
          .registerInstance(
              new InstanceListEntry("target-" + index, "target", "leaving", address, "d" + index));
      countOk(sendLoad(200, Duration.ofMillis(20)));
      long before = leaving.executions().totalStarted();
      assertThat(countOk(sendLoad(60, Duration.ofMillis(10)))).isEqualTo(60);
      assertThat(leaving.executions().totalStarted()).isEqualTo(before);
    }
  }

  @Nested
  class GracefulShutdown {
    // Guards against a shutdown that aborts requests in flight instead of waiting for their
    // responses.
    @Test
    void completesRequestsInFlight() throws Exception {
      fleet = ProcessFleet.start(3, 3, 1_000, 1_000);
      for (int i = 0; i < 3; i++) {
        fleet.target(i).setWorkTime(Duration.ofMillis(300));
      }
      List<CompletableFuture<CallerResponse>> responses = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        responses.add(fleet.getAsync(fleet.entry(0), ProcessFleet.KEY));
      }
      Await.until(
          "all requests are running", CONDITION_TIMEOUT, () -> fleet.executionCount() >= 10);
      fleet.entry(0).terminate();
      assertThat(fleet.entry(0).awaitExit()).isEqualTo(0);
      assertThat(countOk(responses)).isEqualTo(10);
      assertThat(fleet.get(fleet.entry(1), ProcessFleet.KEY).isOk()).isTrue();
    }
  }
}
