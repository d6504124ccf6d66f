package org.bergamotcross.systemtest;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.bergamotcross.standin.FaultScope;
import org.bergamotcross.standin.PlatformFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Keys and settings under faults, with real processes. */
class ConfigurationFaultTest {
  // The stated bound for a change to be in force everywhere.
  private static final Duration BOUND = Duration.ofSeconds(4);
  private static final PlatformFault OUTAGE = new PlatformFault.Outage(false);

  private Fleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = Fleet.start(2, 3, 1_000, 1_000);
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private void awaitRefused(EntryProcess entry, String key, String refusal) throws Exception {
    Await.until(
        entry.id() + " refuses with " + refusal,
        BOUND,
        () -> fleet.get(entry, key).refusal().equals(refusal));
  }

  @Nested
  class WithdrawnKey {
    // The client keeps its connections open, so this covers callers that stay connected.
    @Test
    void isRefusedByAllInstancesWithinTheBound() throws Exception {
      for (EntryProcess entry : fleet.entries()) {
        assertThat(fleet.get(entry, Fleet.SECOND_KEY).isAnswered()).isTrue();
      }
      fleet.withdraw(Fleet.SECOND_KEY);
      for (EntryProcess entry : fleet.entries()) {
        awaitRefused(entry, Fleet.SECOND_KEY, "withdrawn-key");
        assertThat(fleet.get(entry, Fleet.KEY).isAnswered()).isTrue();
      }
    }

    // An instance that can't read the log must learn the withdrawal from its peers.
    @Test
    void isRefusedByAnInstanceThatIsCutFromTheLog() throws Exception {
      EntryProcess cut = fleet.entry(0);
      fleet.platform().injectFault(OUTAGE, FaultScope.forInstances(cut.id()));
      fleet.withdraw(Fleet.SECOND_KEY);
      awaitRefused(cut, Fleet.SECOND_KEY, "withdrawn-key");
    }

    // A request that waits in the socket of a paused process is read with what it knew before.
    @Test
    void isRefusedByAnInstanceThatWasPausedMeanwhile() throws Exception {
      EntryProcess paused = fleet.entry(0);
      paused.pause();
      fleet.withdraw(Fleet.SECOND_KEY);
      CompletableFuture<Reply> waiting = fleet.getLater(paused, Fleet.SECOND_KEY);
      awaitRefused(fleet.entry(1), Fleet.SECOND_KEY, "withdrawn-key");
      Await.during("the process stays paused", BOUND, () -> !waiting.isDone());
      paused.resume();
      assertThat(Fleet.await(waiting).isAnswered()).isFalse();
      awaitRefused(paused, Fleet.SECOND_KEY, "withdrawn-key");
    }
  }

  @Nested
  class LogOutage {
    @Test
    void leavesAllInstancesServing() throws Exception {
      fleet.platform().injectFault(OUTAGE);
      Await.during(
          "all instances serve without the log",
          BOUND.multipliedBy(2),
          () -> fleet.entries().stream().allMatch(this::serves));
    }

    private boolean serves(EntryProcess entry) {
      try {
        return fleet.get(entry, Fleet.KEY).isAnswered();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }

    // An instance that starts without memory must not bring back what was withdrawn before.
    @Test
    void letsAnInstanceStartFromItsPeers() throws Exception {
      fleet.withdraw(Fleet.SECOND_KEY);
      awaitRefused(fleet.entry(1), Fleet.SECOND_KEY, "withdrawn-key");
      fleet.platform().injectFault(OUTAGE);
      fleet.entry(0).kill();
      EntryProcess restarted = fleet.restart(0);
      fleet.awaitServing(restarted);
      assertThat(fleet.get(restarted, Fleet.SECOND_KEY).refusal()).isEqualTo("withdrawn-key");
    }

    // An instance that hears neither log nor peers may miss a withdrawal and must stop.
    @Test
    void stopsAnInstanceThatAlsoHearsNoPeer() throws Exception {
      EntryProcess alone = fleet.entry(0);
      fleet.platform().injectFault(OUTAGE);
      fleet.entry(1).pause();
      fleet.entry(2).pause();
      awaitRefused(alone, Fleet.KEY, "stale-configuration");
      fleet.entry(1).resume();
      fleet.entry(2).resume();
      fleet.awaitServing(alone);
    }
  }
}
