package org.bergamotcross.systemtest;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bergamotcross.standin.InstanceListEntry;
import org.bergamotcross.standin.TargetFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Rates, targets and a planned stop under load, with real processes. */
class TrafficFaultTest {
  private static final Duration LIMIT = Duration.ofSeconds(10);

  private Fleet fleet;

  @AfterEach
  void stop() {
    fleet.close();
  }

  private List<CompletableFuture<Reply>> load(int requests, Duration gap) throws Exception {
    List<CompletableFuture<Reply>> replies = new ArrayList<>();
    for (int i = 0; i < requests; i++) {
      replies.add(fleet.getLater(fleet.entry(i % fleet.entries().size()), Fleet.KEY));
      TimeUnit.NANOSECONDS.sleep(gap.toNanos());
    }
    return replies;
  }

  private static int answered(List<CompletableFuture<Reply>> replies) throws Exception {
    int answered = 0;
    for (CompletableFuture<Reply> reply : replies) {
      answered += Fleet.await(reply).isAnswered() ? 1 : 0;
    }
    return answered;
  }

  @Nested
  class Rate {
    // A restarted instance must bring no fresh burst, and a lost one must free no second share.
    @Test
    void holdsOverAllInstancesWhileOneIsReplaced() throws Exception {
      double rate = 20;
      double burst = 10;
      fleet = Fleet.start(3, 3, rate, burst);
      long before = fleet.executions();
      long startedAt = System.nanoTime();
      List<CompletableFuture<Reply>> replies = load(200, Duration.ofMillis(10));
      fleet.entry(0).kill();
      fleet.restart(0);
      replies.addAll(load(400, Duration.ofMillis(10)));
      answered(replies);
      double seconds = (System.nanoTime() - startedAt) / 1e9;
      assertThat((double) (fleet.executions() - before)).isAtMost(rate * seconds + burst);
      assertThat(fleet.executions() - before).isAtLeast((long) (rate * 2));
    }

    // Uneven arrival: all requests at one instance, at nine tenths of the rate.
    @Test
    void refusesNothingInsideItWhileNoInstanceFails() throws Exception {
      fleet = Fleet.start(3, 3, 50, 20);
      TimeUnit.SECONDS.sleep(4);
      List<CompletableFuture<Reply>> replies = new ArrayList<>();
      for (int i = 0; i < 225; i++) {
        replies.add(fleet.getLater(fleet.entry(1), Fleet.KEY));
        TimeUnit.MILLISECONDS.sleep(22);
      }
      assertThat(answered(replies)).isEqualTo(225);
    }
  }

  @Nested
  class Targets {
    // The health endpoint of a gray target passes while real work stalls.
    @Test
    void thatStallAreAvoidedByAllInstances() throws Exception {
      fleet = Fleet.start(4, 3, 1_000, 1_000);
      answered(load(60, Duration.ofMillis(10)));
      fleet.target(0).injectFault(new TargetFault.Stall());
      load(100, Duration.ofMillis(20));
      for (EntryProcess entry : fleet.entries()) {
        Await.until(
            entry.id() + " logs the ejection",
            LIMIT,
            () -> entry.logLines().stream().anyMatch(l -> l.contains("event=target.ejected")));
      }
      long started = System.nanoTime();
      assertThat(answered(load(60, Duration.ofMillis(10)))).isEqualTo(60);
      assertThat(System.nanoTime() - started).isLessThan(LIMIT.toNanos());
    }

    // The stated bound for a leaving target is 4 s after the list shows it.
    @Test
    void thatLeaveGetNoNewWork() throws Exception {
      fleet = Fleet.start(3, 3, 1_000, 1_000);
      answered(load(30, Duration.ofMillis(10)));
      assertThat(fleet.target(0).executions().totalStarted()).isGreaterThan(0L);
      String address = "127.0.0.1:" + fleet.target(0).address().getPort();
      fleet
          .platform()
          .registerInstance(new InstanceListEntry("target-0", "target", "leaving", address, "d0"));
      answered(load(200, Duration.ofMillis(20)));
      long before = fleet.target(0).executions().totalStarted();
      assertThat(answered(load(60, Duration.ofMillis(10)))).isEqualTo(60);
      assertThat(fleet.target(0).executions().totalStarted()).isEqualTo(before);
    }
  }

  @Nested
  class PlannedStop {
    @Test
    void cutsNoRequest() throws Exception {
      fleet = Fleet.start(3, 3, 1_000, 1_000);
      for (int i = 0; i < 3; i++) {
        fleet.target(i).setWorkTime(Duration.ofMillis(300));
      }
      List<CompletableFuture<Reply>> replies = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        replies.add(fleet.getLater(fleet.entry(0), Fleet.KEY));
      }
      Await.until("the requests run", LIMIT, () -> fleet.executions() >= 10);
      fleet.entry(0).terminate();
      assertThat(fleet.entry(0).awaitExit()).isEqualTo(0);
      assertThat(answered(replies)).isEqualTo(10);
      assertThat(fleet.get(fleet.entry(1), Fleet.KEY).isAnswered()).isTrue();
    }
  }
}
