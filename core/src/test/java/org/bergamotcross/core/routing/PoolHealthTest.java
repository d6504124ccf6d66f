package org.bergamotcross.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.bergamotcross.core.routing.HealthHarness.ERROR;
import static org.bergamotcross.core.routing.HealthHarness.FAST;
import static org.bergamotcross.core.routing.HealthHarness.OK;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.TargetStatus.Reason;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PoolHealthTest {
  private static final ClockReading START = ClockReading.ofMillis(50_000);
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final Duration STALL_TIME = Duration.ofMillis(500);
  private static final TargetStatus AVAILABLE = new TargetStatus.Available(1.0);

  private final HealthHarness local = new HealthHarness(0, Fixtures.pool(6, 0.5), START);
  private final HealthHarness remote = new HealthHarness(1, Fixtures.pool(6, 0.5), START);

  private static TargetStatus unavailable(Reason reason) {
    return new TargetStatus.Unavailable(reason);
  }

  /** Stalls target 0 until it is ejected. */
  private static void eject(HealthHarness instance) {
    instance.successes(1, 2, 3, 4, 5);
    String attempt = instance.start(0);
    instance.advance(STALL_TIME);
    instance.end(attempt, 0, new SendResult.TimedOut(), STALL_TIME);
  }

  @Nested
  class Stall {
    // Guards against stalls that are detected only when requests time out: at 1 request/s there is
    // no second request to compare with.
    @Test
    void isDetectedFromASingleRequestInFlight() {
      local.successes(1, 2);
      local.start(0);
      local.advance(STALL_TIME);
      assertThat(local.status(0)).isEqualTo(unavailable(Reason.EJECTED));
      local.sendReportTo(remote);
      remote.advance(Duration.ofMillis(150));
      assertThat(remote.status(0)).isEqualTo(unavailable(Reason.EJECTED));
    }

    // Guards against an ejection for a single slow request while the target does other work.
    @Test
    void isNotConcludedWhenALaterRequestSucceeded() {
      local.successes(1, 2);
      local.start(0);
      local.advance(Duration.ofMillis(100));
      local.successes(0);
      local.advance(SECOND);
      assertThat(local.decisions).isEmpty();
    }

    // Guards against a target that looks healthy because it sheds immediately or answers probes.
    // Only a complete response to a real request counts.
    @Test
    void isDetectedWhileTheTargetSheds() {
      local.successes(1, 2);
      local.start(0);
      for (int i = 0; i < 10; i++) {
        local.advance(Duration.ofMillis(50));
        local.request(0, new SendResult.Shed(Optional.empty(), false));
      }
      assertThat(local.ejectedTargets()).containsExactly(Fixtures.id(0));
    }

    // Guards against an ejection because a caller reads a long response slowly.
    @Test
    void isNotConcludedAfterTheHeadOfTheResponse() {
      local.successes(1, 2);
      String attempt = local.start(0);
      local.advance(FAST);
      local.health.onResponseHead(attempt, Fixtures.id(0));
      local.advance(Duration.ofSeconds(5));
      local.end(attempt, 0, OK, FAST);
      local.advance(SECOND);
      assertThat(local.decisions).isEmpty();
    }

    // Guards against decisions that depend on the wall clock, which can step by hours.
    @Test
    void isDetectedAcrossAStepOfTheWallClock() {
      local.successes(1, 2);
      local.start(0);
      local.stepWallClock(Duration.ofHours(-3));
      local.advance(Duration.ofMillis(300));
      local.stepWallClock(Duration.ofHours(9));
      assertThat(local.decisions).isEmpty();
      local.advance(Duration.ofMillis(200));
      assertThat(local.ejectedTargets()).containsExactly(Fixtures.id(0));
    }
  }

  @Nested
  class ProcessPause {
    // Guards against ejections by an instance that was paused while the responses arrived.
    @Test
    void isExcludedFromRequestAges() {
      local.successes(1, 2);
      String attempt = local.start(0);
      local.pauseProcess(Duration.ofSeconds(5));
      local.advance(Duration.ofMillis(100));
      assertThat(local.decisions).isEmpty();
      local.end(attempt, 0, OK, Duration.ofMillis(5_100));
      local.advance(SECOND);
      assertThat(local.decisions).isEmpty();
    }

    // Guards against an attempt that counts as stalled forever because its end was lost.
    @Test
    void doesNotKeepAttemptsWhoseEndIsLost() {
      local.start(0);
      local.advance(Duration.ofSeconds(95));
      local.request(0, OK);
      local.advance(Duration.ofSeconds(90));
      assertThat(local.status(0)).isEqualTo(AVAILABLE);
    }
  }

  @Nested
  class PoolWideSlowdown {
    // Guards against ejections for a fault that all targets share, such as a slow database.
    @Test
    void isNotAttributedToSingleTargets() {
      local.successes(0, 1, 2, 3, 4, 5);
      for (int target = 0; target < 6; target++) {
        local.start(target);
      }
      local.advance(Duration.ofSeconds(3));
      assertThat(local.ejectedTargets()).isEmpty();
    }

    // Guards against the same at a low request rate, where each instance sees a single slow target.
    @Test
    void reversesTheFirstEjection() {
      local.successes(1, 2);
      remote.successes(3, 4);
      local.start(0);
      local.advance(Duration.ofMillis(400));
      remote.advance(Duration.ofMillis(400));
      remote.start(5);
      local.advance(Duration.ofMillis(500));
      remote.advance(Duration.ofMillis(500));
      assertThat(local.ejectedTargets()).containsExactly(Fixtures.id(0));
      remote.sendReportTo(local);
      local.sendReportTo(remote);
      local.advance(Duration.ofMillis(50));
      assertThat(local.status(0)).isEqualTo(AVAILABLE);
    }

    // Guards against ejection of the targets that fail first when all fail at the same rate.
    @Test
    void includesFailures() {
      UniformRandomProvider random = Fixtures.random(30);
      for (int i = 0; i < 2_000; i++) {
        local.request(i % 6, random.nextInt(10) < 3 ? ERROR : OK);
        local.advance(Duration.ofMillis(5));
      }
      assertThat(local.decisions).isEmpty();
    }
  }

  @Nested
  class Failures {
    // Guards against a killed target that keeps its share of requests because each failure is fast.
    @Test
    void ofAllRequestsEjectAfterThree() {
      local.successes(1, 2, 3, 4, 5);
      for (int i = 0; i < 3; i++) {
        assertThat(local.ejectedTargets()).isEmpty();
        local.request(0, new SendResult.ConnectFailed());
        local.advance(Duration.ofMillis(50));
      }
      local.advance(PoolHealth.PEER_CONTRADICTION_WINDOW);
      assertThat(local.ejectedTargets()).containsExactly(Fixtures.id(0));
    }

    // Guards against a partial fault that a rule of consecutive failures never sees.
    @Test
    void ofThreeInTenRequestsEject() {
      for (int i = 0; i < 40 && local.ejectedTargets().isEmpty(); i++) {
        local.request(0, i % 10 == 2 || i % 10 == 5 || i % 10 == 8 ? ERROR : OK);
        local.successes(1, 2, 3, 4, 5);
        local.advance(Duration.ofMillis(50));
      }
      assertThat(local.ejectedTargets()).containsExactly(Fixtures.id(0));
    }

    // Guards against callers with very short timeouts that cause the ejection of a healthy target.
    @Test
    void areNotCountedForShortTimeouts() {
      local.successes(1, 2, 3, 4, 5);
      for (int i = 0; i < 20; i++) {
        local.request(0, new SendResult.TimedOut());
      }
      local.advance(SECOND);
      assertThat(local.decisions).isEmpty();
    }
  }

  private static void startPathStalls(HealthHarness instance) {
    for (int i = 0; i < FaultDetector.MIN_PATH_STALLS; i++) {
      instance.start(0);
    }
  }

  @Nested
  class PathFault {
    // Guards against a path fault that is concluded from one or two slow requests at a busy target.
    @Test
    void isNotConcludedFromTwoLongRequests() {
      local.successes(1, 2, 3);
      local.start(0);
      local.start(0);
      local.advance(Duration.ofMillis(400));
      remote.advance(Duration.ofMillis(400));
      remote.successes(0);
      local.sendReportTo(remote);
      remote.sendReportTo(local);
      local.advance(STALL_TIME);
      assertThat(local.decisions).isEmpty();
    }

    // Guards against a one-way cut of one failure domain that ejects a target everywhere.
    @Test
    void isLimitedToTheAffectedFailureDomain() {
      local.successes(1, 2, 3);
      startPathStalls(local);
      local.advance(STALL_TIME);
      remote.advance(STALL_TIME);
      remote.successes(0, 1, 2);
      local.sendReportTo(remote);
      remote.sendReportTo(local);
      local.advance(Duration.ofMillis(200));
      remote.advance(Duration.ofMillis(200));
      assertThat(local.status(0)).isEqualTo(unavailable(Reason.PATH_FAULT));
      assertThat(remote.status(0)).isEqualTo(AVAILABLE);
      assertThat(remote.decisions).isEmpty();
    }

    // Guards against a fault of one instance that keeps its whole failure domain from a target.
    @Test
    void isLimitedToTheInstanceWhenANeighbourSucceeds() {
      HealthHarness neighbour = new HealthHarness(3, Fixtures.pool(6, 0.5), START);
      local.successes(1, 2, 3);
      startPathStalls(local);
      local.advance(STALL_TIME);
      neighbour.advance(STALL_TIME);
      neighbour.successes(0);
      local.sendReportTo(neighbour);
      neighbour.sendReportTo(local);
      neighbour.advance(Duration.ofMillis(200));
      local.advance(Duration.ofMillis(50));
      assertThat(neighbour.status(0)).isEqualTo(AVAILABLE);
      assertThat(local.status(0)).isEqualTo(unavailable(Reason.PATH_FAULT));
    }

    // Guards against a fault that is masked by old successes of another failure domain.
    @Test
    void isNotConcludedFromSuccessesBeforeTheStall() {
      remote.successes(0, 1, 2);
      local.advance(SECOND);
      remote.advance(SECOND);
      local.successes(1, 2);
      local.start(0);
      local.advance(STALL_TIME);
      remote.advance(STALL_TIME);
      local.sendReportTo(remote);
      remote.sendReportTo(local);
      remote.advance(Duration.ofMillis(200));
      local.advance(Duration.ofMillis(50));
      assertThat(local.status(0)).isEqualTo(unavailable(Reason.EJECTED));
      assertThat(remote.status(0)).isEqualTo(unavailable(Reason.EJECTED));
    }
  }

  @Nested
  class StaleEvidence {
    // Guards against a delayed report that overrides a later one of the same instance.
    @Test
    void ofAnEarlierReportIsIgnored() {
      local.successes(1, 2);
      local.start(0);
      local.advance(STALL_TIME);
      PoolHealthReport early = local.report().orElseThrow();
      PoolHealthReport late = local.report().orElseThrow();
      remote.health.onPeerReport(late, remote.now());
      assertThat(late.sequence()).isGreaterThan(early.sequence());
      remote.advance(TargetHealth.MAX_PEER_REPORT_AGE.plus(SECOND));
      remote.health.onPeerReport(early, remote.now());
      remote.decisions.clear();
      remote.advance(SECOND);
      assertThat(remote.decisionsOf(HealthDecision.Ejected.class)).isEmpty();
    }

    // Guards against evidence of a lost peer that never expires.
    @Test
    void expires() {
      local.successes(1, 2);
      local.start(0);
      local.advance(STALL_TIME);
      local.sendReportTo(remote);
      assertThat(remote.report()).isPresent();
      remote.health.updateDrainingTargets(Set.of(Fixtures.id(0)), remote.now());
      remote.advance(TargetHealth.MAX_PEER_REPORT_AGE.plus(SECOND));
      remote.health.updateDrainingTargets(Set.of(), remote.now());
      remote.advance(Duration.ofMillis(1_500));
      remote.request(0, OK);
      remote.advance(Duration.ofSeconds(11));
      assertThat(remote.status(0)).isEqualTo(AVAILABLE);
      assertThat(remote.ejectedTargets()).isEmpty();
    }
  }

  @Nested
  class Readmission {
    // Guards against a flapping target that gets normal load every few seconds.
    @Test
    void waitsLongerAfterEachFlap() {
      List<Long> waits = new ArrayList<>();
      for (int flap = 0; flap < 8; flap++) {
        local.successes(1, 2, 3, 4, 5);
        eject(local);
        ClockReading ejectedAt = local.now();
        for (int i = 0; i < 1_300 && !(local.status(0) instanceof TargetStatus.Trial); i++) {
          local.advance(Duration.ofMillis(50));
        }
        waits.add(local.now().since(ejectedAt).plusMillis(100).toSeconds());
        local.request(0, OK);
        local.advance(Duration.ofSeconds(10));
        assertThat(local.status(0)).isEqualTo(AVAILABLE);
      }
      assertThat(waits).containsExactly(1L, 2L, 4L, 8L, 16L, 32L, 60L, 60L).inOrder();
    }

    // Guards against full load on a target that has completed a single request.
    @Test
    void rampsUp() {
      eject(local);
      local.advance(Duration.ofMillis(1_200));
      local.request(0, OK);
      assertThat(local.status(0)).isEqualTo(new TargetStatus.Available(0.1));
      local.advance(Duration.ofMillis(5_100));
      assertThat(local.status(0)).isEqualTo(new TargetStatus.Available(0.5));
      local.advance(Duration.ofMillis(5_100));
      assertThat(local.status(0)).isEqualTo(AVAILABLE);
    }

    // Guards against trial requests of more than one instance at a time.
    @Test
    void isTestedByOneInstanceAtATime() {
      eject(local);
      local.sendReportTo(remote);
      remote.advance(STALL_TIME.plusMillis(200));
      local.advance(Duration.ofMillis(1_200));
      remote.advance(Duration.ofMillis(1_200));
      assertThat(local.status(0)).isEqualTo(new TargetStatus.Trial());
      local.start(0);
      local.sendReportTo(remote);
      assertThat(local.isUnavailable(0)).isTrue();
      assertThat(remote.status(0)).isEqualTo(unavailable(Reason.EJECTED));
    }

    // Guards against instances that keep a target ejected after the trial of a peer succeeded.
    @Test
    void followsTheTrialRequestOfAPeer() {
      eject(local);
      local.sendReportTo(remote);
      remote.advance(STALL_TIME.plusMillis(200));
      local.advance(Duration.ofMillis(1_300));
      remote.advance(Duration.ofMillis(1_300));
      remote.request(0, OK);
      assertThat(remote.decisionsOf(HealthDecision.Readmitted.class)).hasSize(1);
      HealthHarness third = new HealthHarness(2, Fixtures.pool(6, 0.5), START);
      assertThat(third.isUnavailable(0)).isFalse();
      local.sendReportTo(third);
      remote.sendReportTo(third);
      third.advance(Duration.ofMillis(300));
      assertThat(third.isUnavailable(0)).isFalse();
    }

    // Guards against a stalled trial request that blocks all later ones.
    @Test
    void countsAStalledTrialAsFailed() {
      eject(local);
      local.advance(Duration.ofMillis(1_300));
      local.start(0);
      local.advance(STALL_TIME);
      assertThat(local.decisionsOf(HealthDecision.TrialFailed.class))
          .containsExactly(new HealthDecision.TrialFailed(Fixtures.id(0), Duration.ofSeconds(2)));
    }

    // Guards against a pool with only non-idempotent routes that shrinks permanently.
    @Test
    void happensEventuallyWithoutATrialRequest() {
      eject(local);
      local.advance(TargetHealth.MAX_TRIAL_WAIT.plus(Duration.ofSeconds(2)));
      assertThat(local.status(0)).isEqualTo(new TargetStatus.Available(0.1));
    }
  }

  @Nested
  class Draining {
    // Guards against new requests for a target that is about to stop.
    @Test
    void takesEffectImmediately() {
      local.health.updateDrainingTargets(Set.of(Fixtures.id(0)), local.now());
      assertThat(local.status(0)).isEqualTo(unavailable(Reason.DRAINING));
      local.request(1, new SendResult.Completed(200, true));
      assertThat(local.status(1)).isEqualTo(unavailable(Reason.DRAINING));
      local.sendReportTo(remote);
      assertThat(remote.status(1)).isEqualTo(unavailable(Reason.DRAINING));
    }

    // Guards against a stale directory that lists a stopped target as live.
    @Test
    void endsWithATrialRequest() {
      local.health.updateDrainingTargets(Set.of(Fixtures.id(0)), local.now());
      local.health.updateDrainingTargets(Set.of(), local.now());
      assertThat(local.isUnavailable(0)).isTrue();
      local.advance(Duration.ofMillis(1_300));
      assertThat(local.status(0)).isEqualTo(new TargetStatus.Trial());
    }

    // Guards against requests for a target that was removed from the pool.
    @Test
    void appliesToRemovedTargets() {
      local.health.configure(Fixtures.pool(5, 0.5), local.now());
      assertThat(local.status(5)).isEqualTo(unavailable(Reason.DRAINING));
    }
  }

  @Nested
  class ColdStart {
    // Guards against full load on a target that has just been added.
    @Test
    void rampsNewTargetsUp() {
      local.health.configure(Fixtures.pool(8, 0.5), local.now());
      assertThat(local.status(7)).isEqualTo(new TargetStatus.Available(0.1));
      local.advance(Duration.ofSeconds(11));
      assertThat(local.status(7)).isEqualTo(AVAILABLE);
    }

    // Guards against ejections in a slow pool by an instance that does not know its latency yet.
    @Test
    void adoptsTheBaselineLatencyOfPeers() {
      HealthHarness slow = new HealthHarness(1, Fixtures.pool(6, 0.5), START);
      for (int target = 1; target < 6; target++) {
        slow.end(slow.start(target), target, OK, STALL_TIME);
      }
      slow.start(0);
      slow.advance(Duration.ofMillis(2_100));
      local.advance(Duration.ofMillis(2_100));
      slow.sendReportTo(local);
      assertThat(local.health.stallThreshold()).isEqualTo(Duration.ofSeconds(2));
    }
  }

  @Nested
  @Group
  class Floor {
    // Guards against the ejection of a whole pool when all its targets are faulty.
    @Test
    void preventsEjectionsBelowIt() {
      for (int target = 0; target < 6; target++) {
        local.successes(5, 4, 3);
        local.start(target);
        local.advance(Duration.ofMillis(600));
      }
      assertThat(local.ejectedTargets()).hasSize(3);
      local.successes(5, 4, 3);
      for (int i = 0; i < 10; i++) {
        local.request(3, new SendResult.Broken());
      }
      local.advance(Duration.ofMillis(300));
      assertThat(local.decisionsOf(HealthDecision.EjectionRefused.class)).isNotEmpty();
      assertThat(local.health.healthyTargetCount()).isEqualTo(3);
    }

    // Guards against a pool below its floor because targets drain while others are ejected.
    @Test
    void reinstatesEjectedTargetsWhenOthersDrain() {
      eject(local);
      local.health.updateDrainingTargets(
          Set.of(Fixtures.id(1), Fixtures.id(2), Fixtures.id(3)), local.now());
      assertThat(local.status(0)).isEqualTo(AVAILABLE);
      assertThat(local.health.healthyTargetCount()).isEqualTo(3);
    }

    // Guards against event sequences that the other tests do not cover.
    @Property(seed = "1001", tries = 300)
    void holdsInAnyOrderOfEvents(
        @ForAll @IntRange(min = 1, max = 16) int size,
        @ForAll @IntRange(max = 10) int tenths,
        @ForAll long seed) {
      UniformRandomProvider random = Fixtures.random(seed);
      HealthHarness instance = new HealthHarness(0, Fixtures.pool(size, tenths / 10.0), START);
      HealthHarness peer = new HealthHarness(1, Fixtures.pool(size, tenths / 10.0), START);
      for (int event = 0; event < 120; event++) {
        applyRandomEvent(random, size, instance, peer);
        assertFloor(instance.health);
      }
    }

    private static void applyRandomEvent(
        UniformRandomProvider random, int size, HealthHarness instance, HealthHarness peer) {
      int target = random.nextInt(size);
      switch (random.nextInt(9)) {
        case 0, 1 -> instance.start(target);
        case 2 -> instance.request(target, random.nextBoolean() ? OK : ERROR);
        case 3 -> instance.request(target, new SendResult.ConnectFailed());
        case 4 -> instance.request(target, new SendResult.Completed(200, random.nextInt(4) == 0));
        case 5 -> {
          peer.start(target);
          peer.advance(STALL_TIME);
          peer.sendReportTo(instance);
        }
        case 6 ->
            instance.health.updateDrainingTargets(randomTargets(random, size), instance.now());
        case 7 -> instance.health.configure(randomPool(random, size), instance.now());
        default -> instance.advance(Duration.ofMillis(random.nextInt(3_000)));
      }
    }

    private static Set<TargetId> randomTargets(UniformRandomProvider random, int size) {
      Set<TargetId> targets = new HashSet<>();
      for (int i = 0; i < size; i++) {
        if (random.nextInt(4) == 0) {
          targets.add(Fixtures.id(i));
        }
      }
      return targets;
    }

    private static Pool randomPool(UniformRandomProvider random, int size) {
      Set<TargetId> dropped = randomTargets(random, size);
      List<Target> kept =
          Fixtures.pool(size, 0).targets().stream()
              .filter(target -> !dropped.contains(target.id()))
              .toList();
      return new Pool(Fixtures.POOL, random.nextDouble(), 4, kept);
    }

    private static void assertFloor(PoolHealth health) {
      if (health.ejectedTargetCount() > 0) {
        assertThat(health.healthyTargetCount()).isAtLeast(health.pool().minInUseTargets());
      }
    }
  }

  @Nested
  class InFlight {
    // Guards against instantaneous counts, which predict little about the next 500 ms.
    @Test
    void isAveragedOverTheInterval() {
      local.successes(0);
      local.advance(Duration.ofMillis(80));
      assertThat(local.health.takeAverageInFlight(FAST.multipliedBy(5), local.now()))
          .containsExactly(Fixtures.id(0), 0.2);
    }
  }
}
