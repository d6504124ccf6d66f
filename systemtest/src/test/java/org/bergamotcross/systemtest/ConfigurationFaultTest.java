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

/**
 * Guards against instances that serve withdrawn keys or outdated settings, or stop serving without
 * need, while the control log or their peers are unreachable. Each instance is a process of its
 * own, so that a test can kill or pause it.
 */
class ConfigurationFaultTest {
  // The specified time within which a change takes effect on all instances.
  private static final Duration PROPAGATION_BOUND = Duration.ofSeconds(4);
  private static final PlatformFault LOG_OUTAGE = new PlatformFault.Outage(false);

  private ProcessFleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = ProcessFleet.start(2, 3, 1_000, 1_000);
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private void awaitRefused(EntryProcess entry, String key, String refusalCode) throws Exception {
    Await.until(
        entry.id() + " refuses requests with " + refusalCode,
        PROPAGATION_BOUND,
        () -> fleet.get(entry, key).refusalCode().equals(refusalCode));
  }

  @Nested
  class WithdrawnKey {
    // Guards against a withdrawal that reaches only some instances, or only new connections: the
    // client keeps its connections open, so established ones are covered.
    @Test
    void isRefusedByAllInstancesWithinTheBound() throws Exception {
      for (EntryProcess entry : fleet.entries()) {
        assertThat(fleet.get(entry, ProcessFleet.SECOND_KEY).isOk()).isTrue();
      }
      fleet.withdrawKey(ProcessFleet.SECOND_KEY);
      for (EntryProcess entry : fleet.entries()) {
        awaitRefused(entry, ProcessFleet.SECOND_KEY, "withdrawn-key");
        assertThat(fleet.get(entry, ProcessFleet.KEY).isOk()).isTrue();
      }
    }

    // Guards against an instance that can't read the log and keeps accepting a withdrawn key: it
    // must learn of the withdrawal from its peers.
    @Test
    void isRefusedByAnInstanceWithoutLogAccess() throws Exception {
      EntryProcess withoutLog = fleet.entry(0);
      fleet.platform().injectFault(LOG_OUTAGE, FaultScope.forInstances(withoutLog.id()));
      fleet.withdrawKey(ProcessFleet.SECOND_KEY);
      awaitRefused(withoutLog, ProcessFleet.SECOND_KEY, "withdrawn-key");
    }

    // Guards against an instance that resumes after a pause and serves the request pending in its
    // socket with the settings from before the pause.
    @Test
    void isRefusedByAnInstanceResumedAfterAPause() throws Exception {
      EntryProcess paused = fleet.entry(0);
      paused.pause();
      fleet.withdrawKey(ProcessFleet.SECOND_KEY);
      CompletableFuture<CallerResponse> pending = fleet.getAsync(paused, ProcessFleet.SECOND_KEY);
      awaitRefused(fleet.entry(1), ProcessFleet.SECOND_KEY, "withdrawn-key");
      Await.holdsFor("the process stays paused", PROPAGATION_BOUND, () -> !pending.isDone());
      paused.resume();
      assertThat(ProcessFleet.await(pending).isOk()).isFalse();
      awaitRefused(paused, ProcessFleet.SECOND_KEY, "withdrawn-key");
    }
  }

  @Nested
  class LogOutage {
    // Guards against instances that stop serving although they still confirm the settings with
    // their peers.
    @Test
    void leavesAllInstancesServing() throws Exception {
      fleet.platform().injectFault(LOG_OUTAGE);
      Await.holdsFor(
          "all instances serve without the log",
          PROPAGATION_BOUND.multipliedBy(2),
          () -> fleet.entries().stream().allMatch(this::serves));
    }

    private boolean serves(EntryProcess entry) {
      try {
        return fleet.get(entry, ProcessFleet.KEY).isOk();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }

    // Guards against a restarted instance that accepts a key withdrawn before its start: it has no
    // state of its own and can't read the log, so it must obtain the withdrawal from its peers.
    @Test
    void allowsARestartFromPeerState() throws Exception {
      fleet.withdrawKey(ProcessFleet.SECOND_KEY);
      awaitRefused(fleet.entry(1), ProcessFleet.SECOND_KEY, "withdrawn-key");
      fleet.platform().injectFault(LOG_OUTAGE);
      fleet.entry(0).kill();
      EntryProcess restarted = fleet.restart(0);
      fleet.awaitServing(restarted);
      assertThat(fleet.get(restarted, ProcessFleet.SECOND_KEY).refusalCode())
          .isEqualTo("withdrawn-key");
    }

    // Guards against an instance that keeps serving with stale settings: without the log and
    // without peers it can miss a withdrawal, so it must refuse requests until it reaches a peer
    // again.
    @Test
    void stopsAnInstanceIsolatedFromItsPeers() throws Exception {
      EntryProcess isolated = fleet.entry(0);
      fleet.platform().injectFault(LOG_OUTAGE);
      fleet.entry(1).pause();
      fleet.entry(2).pause();
      awaitRefused(isolated, ProcessFleet.KEY, "stale-configuration");
      fleet.entry(1).resume();
      fleet.entry(2).resume();
      fleet.awaitServing(isolated);
    }
  }
}
