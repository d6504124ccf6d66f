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
import org.bergamotcross.kernel.Now;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PoolHealthTest {
  private static final Now START = Now.ofMillis(50_000);
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final Duration SOON = Duration.ofMillis(500);
  private static final TargetStatus IN_USE = new TargetStatus.InUse(1.0);

  private final HealthHarness near = new HealthHarness(0, Fixtures.pool(6, 0.5), START);
  private final HealthHarness far = new HealthHarness(1, Fixtures.pool(6, 0.5), START);

  private static TargetStatus avoided(Reason reason) {
    return new TargetStatus.Avoided(reason);
  }

  /** Stalls target 0 until it is ejected. */
  private static void eject(HealthHarness instance) {
    instance.successes(1, 2, 3, 4, 5);
    String attempt = instance.start(0);
    instance.pass(SOON);
    instance.end(attempt, 0, new SendResult.TimedOut(), SOON);
  }

  @Nested
  class Stall {
    // Guards against a stall that is noticed only when requests time out: at 1 request/s there is
    // no second request to compare with.
    @Test
    void isDetectedFromASingleOpenRequest() {
      near.successes(1, 2);
      near.start(0);
      near.pass(SOON);
      assertThat(near.status(0)).isEqualTo(avoided(Reason.EJECTED));
      near.tell(far);
      far.pass(Duration.ofMillis(150));
      assertThat(far.status(0)).isEqualTo(avoided(Reason.EJECTED));
    }

    // Guards against an ejection for a single slow request while the target does other work.
    @Test
    void isNotConcludedWhenALaterRequestSucceeded() {
      near.successes(1, 2);
      near.start(0);
      near.pass(Duration.ofMillis(100));
      near.successes(0);
      near.pass(SECOND);
      assertThat(near.decisions).isEmpty();
    }

    // Guards against a target that sheds at once or answers probes and is taken to work: only a
    // whole response to a real request counts.
    @Test
    void isDetectedThoughTheTargetSheds() {
      near.successes(1, 2);
      near.start(0);
      for (int i = 0; i < 10; i++) {
        near.pass(Duration.ofMillis(50));
        near.request(0, new SendResult.Shed(Optional.empty(), false));
      }
      assertThat(near.ejected()).containsExactly(Fixtures.id(0));
    }

    // Guards against an ejection because a caller reads a long response slowly.
    @Test
    void isNotConcludedAfterTheHeadOfTheResponse() {
      near.successes(1, 2);
      String attempt = near.start(0);
      near.pass(FAST);
      near.health.answering(attempt, Fixtures.id(0));
      near.pass(Duration.ofSeconds(5));
      near.end(attempt, 0, OK, FAST);
      near.pass(SECOND);
      assertThat(near.decisions).isEmpty();
    }

    // Guards against a decision that depends on the wall clock, which can step by hours.
    @Test
    void isDetectedAcrossAStepOfTheWallClock() {
      near.successes(1, 2);
      near.start(0);
      near.stepWallClock(Duration.ofHours(-3));
      near.pass(Duration.ofMillis(300));
      near.stepWallClock(Duration.ofHours(9));
      assertThat(near.decisions).isEmpty();
      near.pass(Duration.ofMillis(200));
      assertThat(near.ejected()).containsExactly(Fixtures.id(0));
    }
  }

  @Nested
  class Pause {
    // Guards against ejections by an instance that was paused while the answers arrived.
    @Test
    void ofThisProcessIsNotCounted() {
      near.successes(1, 2);
      String attempt = near.start(0);
      near.freeze(Duration.ofSeconds(5));
      near.pass(Duration.ofMillis(100));
      assertThat(near.decisions).isEmpty();
      near.end(attempt, 0, OK, Duration.ofMillis(5_100));
      near.pass(SECOND);
      assertThat(near.decisions).isEmpty();
    }

    // Guards against an attempt whose end was lost and that counts as stalled for ever.
    @Test
    void ofTheEndOfAnAttemptIsForgotten() {
      near.start(0);
      near.pass(Duration.ofSeconds(95));
      near.request(0, OK);
      near.pass(Duration.ofSeconds(90));
      assertThat(near.status(0)).isEqualTo(IN_USE);
    }
  }

  @Nested
  class SlowEverywhere {
    // Guards against ejections for a fault that all targets share, such as a slow database.
    @Test
    void isNotAttributedToSingleTargets() {
      near.successes(0, 1, 2, 3, 4, 5);
      for (int target = 0; target < 6; target++) {
        near.start(target);
      }
      near.pass(Duration.ofSeconds(3));
      assertThat(near.ejected()).isEmpty();
    }

    // Guards against the same at a trickle, where each instance sees a single slow target.
    @Test
    void takesBackTheFirstEjection() {
      near.successes(1, 2);
      far.successes(3, 4);
      near.start(0);
      near.pass(Duration.ofMillis(400));
      far.pass(Duration.ofMillis(400));
      far.start(5);
      near.pass(Duration.ofMillis(500));
      far.pass(Duration.ofMillis(500));
      assertThat(near.ejected()).containsExactly(Fixtures.id(0));
      far.tell(near);
      near.tell(far);
      near.pass(Duration.ofMillis(50));
      assertThat(near.status(0)).isEqualTo(IN_USE);
    }

    // Guards against ejection of the targets that happen to fail first when all fail alike.
    @Test
    void coversFailures() {
      UniformRandomProvider random = Fixtures.random(30);
      for (int i = 0; i < 2_000; i++) {
        near.request(i % 6, random.nextInt(10) < 3 ? ERROR : OK);
        near.pass(Duration.ofMillis(5));
      }
      assertThat(near.decisions).isEmpty();
    }
  }

  @Nested
  class Failures {
    // Guards against a killed target that keeps its share because each failure is quick.
    @Test
    void ofAllRequestsEjectAfterThree() {
      near.successes(1, 2, 3, 4, 5);
      for (int i = 0; i < 3; i++) {
        assertThat(near.ejected()).isEmpty();
        near.request(0, new SendResult.ConnectFailed());
        near.pass(Duration.ofMillis(50));
      }
      near.pass(PoolHealth.PEER_GRACE);
      assertThat(near.ejected()).containsExactly(Fixtures.id(0));
    }

    // Guards against a partial fault that a rule of consecutive failures never sees.
    @Test
    void ofThreeInTenRequestsEject() {
      for (int i = 0; i < 40 && near.ejected().isEmpty(); i++) {
        near.request(0, i % 10 == 2 || i % 10 == 5 || i % 10 == 8 ? ERROR : OK);
        near.successes(1, 2, 3, 4, 5);
        near.pass(Duration.ofMillis(50));
      }
      assertThat(near.ejected()).containsExactly(Fixtures.id(0));
    }

    // Guards against callers with tiny timeouts that take a healthy target out of use.
    @Test
    void areNotCountedForShortTimeouts() {
      near.successes(1, 2, 3, 4, 5);
      for (int i = 0; i < 20; i++) {
        near.request(0, new SendResult.TimedOut());
      }
      near.pass(SECOND);
      assertThat(near.decisions).isEmpty();
    }
  }

  private static void startThree(HealthHarness instance) {
    for (int i = 0; i < FaultJudge.LEAST_STALLS; i++) {
      instance.start(0);
    }
  }

  @Nested
  class PathFault {
    // Guards against a path fault for one or two long requests of a busy target.
    @Test
    void isNotConcludedFromTwoLongRequests() {
      near.successes(1, 2, 3);
      near.start(0);
      near.start(0);
      near.pass(Duration.ofMillis(400));
      far.pass(Duration.ofMillis(400));
      far.successes(0);
      near.tell(far);
      far.tell(near);
      near.pass(SOON);
      assertThat(near.decisions).isEmpty();
    }

    // Guards against a one-way cut of one failure domain that ejects a target everywhere.
    @Test
    void isKeptToTheFailureDomainThatSeesIt() {
      near.successes(1, 2, 3);
      startThree(near);
      near.pass(SOON);
      far.pass(SOON);
      far.successes(0, 1, 2);
      near.tell(far);
      far.tell(near);
      near.pass(Duration.ofMillis(200));
      far.pass(Duration.ofMillis(200));
      assertThat(near.status(0)).isEqualTo(avoided(Reason.PATH_FAULT));
      assertThat(far.status(0)).isEqualTo(IN_USE);
      assertThat(far.decisions).isEmpty();
    }

    // Guards against a fault of one instance that moves its whole failure domain away.
    @Test
    void isKeptToTheInstanceWhenANeighbourSucceeds() {
      HealthHarness neighbour = new HealthHarness(3, Fixtures.pool(6, 0.5), START);
      near.successes(1, 2, 3);
      startThree(near);
      near.pass(SOON);
      neighbour.pass(SOON);
      neighbour.successes(0);
      near.tell(neighbour);
      neighbour.tell(near);
      neighbour.pass(Duration.ofMillis(200));
      near.pass(Duration.ofMillis(50));
      assertThat(neighbour.status(0)).isEqualTo(IN_USE);
      assertThat(near.status(0)).isEqualTo(avoided(Reason.PATH_FAULT));
    }

    // Guards against a fault that hides behind old successes of another failure domain.
    @Test
    void isNotAssumedFromSuccessesBeforeTheStall() {
      far.successes(0, 1, 2);
      near.pass(SECOND);
      far.pass(SECOND);
      near.successes(1, 2);
      near.start(0);
      near.pass(SOON);
      far.pass(SOON);
      near.tell(far);
      far.tell(near);
      far.pass(Duration.ofMillis(200));
      near.pass(Duration.ofMillis(50));
      assertThat(near.status(0)).isEqualTo(avoided(Reason.EJECTED));
      assertThat(far.status(0)).isEqualTo(avoided(Reason.EJECTED));
    }
  }

  @Nested
  class OldEvidence {
    // Guards against a delayed report that overrides a later one of the same instance.
    @Test
    void ofAnEarlierReportHasNoEffect() {
      near.successes(1, 2);
      near.start(0);
      near.pass(SOON);
      PoolReport early = near.report().orElseThrow();
      PoolReport late = near.report().orElseThrow();
      far.health.reported(late, far.now());
      assertThat(late.sequence()).isGreaterThan(early.sequence());
      far.pass(TargetHealth.PEER_AGE_LIMIT.plus(SECOND));
      far.health.reported(early, far.now());
      far.decisions.clear();
      far.pass(SECOND);
      assertThat(far.decided(HealthDecision.Ejected.class)).isEmpty();
    }

    // Guards against a peer that went away with a suspicion which nobody can take back.
    @Test
    void expires() {
      near.successes(1, 2);
      near.start(0);
      near.pass(SOON);
      near.tell(far);
      assertThat(far.report()).isPresent();
      far.health.leaving(Set.of(Fixtures.id(0)), far.now());
      far.pass(TargetHealth.PEER_AGE_LIMIT.plus(SECOND));
      far.health.leaving(Set.of(), far.now());
      far.pass(Duration.ofMillis(1_500));
      far.request(0, OK);
      far.pass(Duration.ofSeconds(11));
      assertThat(far.status(0)).isEqualTo(IN_USE);
      assertThat(far.ejected()).isEmpty();
    }
  }

  @Nested
  class Readmission {
    // Guards against a flapping target that gets normal work every few seconds.
    @Test
    void waitsLongerAfterEachFlap() {
      List<Long> waits = new ArrayList<>();
      for (int flap = 0; flap < 8; flap++) {
        near.successes(1, 2, 3, 4, 5);
        eject(near);
        Now ejectedAt = near.now();
        for (int i = 0; i < 1_300 && !(near.status(0) instanceof TargetStatus.Trial); i++) {
          near.pass(Duration.ofMillis(50));
        }
        waits.add(near.now().since(ejectedAt).plusMillis(100).toSeconds());
        near.request(0, OK);
        near.pass(Duration.ofSeconds(10));
        assertThat(near.status(0)).isEqualTo(IN_USE);
      }
      assertThat(waits).containsExactly(1L, 2L, 4L, 8L, 16L, 32L, 60L, 60L).inOrder();
    }

    // Guards against full load on a target that has answered a single request.
    @Test
    void rampsUp() {
      eject(near);
      near.pass(Duration.ofMillis(1_200));
      near.request(0, OK);
      assertThat(near.status(0)).isEqualTo(new TargetStatus.InUse(0.1));
      near.pass(Duration.ofMillis(5_100));
      assertThat(near.status(0)).isEqualTo(new TargetStatus.InUse(0.5));
      near.pass(Duration.ofMillis(5_100));
      assertThat(near.status(0)).isEqualTo(IN_USE);
    }

    // Guards against trials of all instances at once, and against more than one of them.
    @Test
    void isTriedByOneInstanceAtATime() {
      eject(near);
      near.tell(far);
      far.pass(SOON.plusMillis(200));
      near.pass(Duration.ofMillis(1_200));
      far.pass(Duration.ofMillis(1_200));
      assertThat(near.status(0)).isEqualTo(new TargetStatus.Trial());
      near.start(0);
      near.tell(far);
      assertThat(near.isAvoided(0)).isTrue();
      assertThat(far.status(0)).isEqualTo(avoided(Reason.EJECTED));
    }

    // Guards against instances that stay away from a target after another one has proved it.
    @Test
    void followsTheTrialOfAPeer() {
      eject(near);
      near.tell(far);
      far.pass(SOON.plusMillis(200));
      near.pass(Duration.ofMillis(1_300));
      far.pass(Duration.ofMillis(1_300));
      far.request(0, OK);
      assertThat(far.decided(HealthDecision.Readmitted.class)).hasSize(1);
      HealthHarness third = new HealthHarness(2, Fixtures.pool(6, 0.5), START);
      assertThat(third.isAvoided(0)).isFalse();
      near.tell(third);
      far.tell(third);
      third.pass(Duration.ofMillis(300));
      assertThat(third.isAvoided(0)).isFalse();
    }

    // Guards against a stalled trial that blocks all later ones.
    @Test
    void countsAStalledTrialAsFailed() {
      eject(near);
      near.pass(Duration.ofMillis(1_300));
      near.start(0);
      near.pass(SOON);
      assertThat(near.decided(HealthDecision.TrialFailed.class))
          .containsExactly(new HealthDecision.TrialFailed(Fixtures.id(0), Duration.ofSeconds(2)));
    }

    // Guards against a pool of non-idempotent routes that shrinks for ever.
    @Test
    void happensWithoutATrialInTheEnd() {
      eject(near);
      near.pass(TargetHealth.TRIAL_UNUSED_LIMIT.plus(Duration.ofSeconds(2)));
      assertThat(near.status(0)).isEqualTo(new TargetStatus.InUse(0.1));
    }
  }

  @Nested
  class Leaving {
    // Guards against new work for a target that is about to stop.
    @Test
    void isBelievedAtOnce() {
      near.health.leaving(Set.of(Fixtures.id(0)), near.now());
      assertThat(near.status(0)).isEqualTo(avoided(Reason.LEAVING));
      near.request(1, new SendResult.Completed(200, true));
      assertThat(near.status(1)).isEqualTo(avoided(Reason.LEAVING));
      near.tell(far);
      assertThat(far.status(1)).isEqualTo(avoided(Reason.LEAVING));
    }

    // Guards against a lagging list that shows a stopped target as live.
    @Test
    void endsWithATrial() {
      near.health.leaving(Set.of(Fixtures.id(0)), near.now());
      near.health.leaving(Set.of(), near.now());
      assertThat(near.isAvoided(0)).isTrue();
      near.pass(Duration.ofMillis(1_300));
      assertThat(near.status(0)).isEqualTo(new TargetStatus.Trial());
    }

    // Guards against work for a target that was removed from the pool.
    @Test
    void includesRemovedTargets() {
      near.health.configure(Fixtures.pool(5, 0.5), near.now());
      assertThat(near.status(5)).isEqualTo(avoided(Reason.LEAVING));
    }
  }

  @Nested
  class ColdStart {
    // Guards against full load on a target that has just been added.
    @Test
    void rampsNewTargetsUp() {
      near.health.configure(Fixtures.pool(8, 0.5), near.now());
      assertThat(near.status(7)).isEqualTo(new TargetStatus.InUse(0.1));
      near.pass(Duration.ofSeconds(11));
      assertThat(near.status(7)).isEqualTo(IN_USE);
    }

    // Guards against ejections of a slow pool by an instance that does not know it yet.
    @Test
    void takesTheUsualLatencyFromPeers() {
      HealthHarness slow = new HealthHarness(1, Fixtures.pool(6, 0.5), START);
      for (int target = 1; target < 6; target++) {
        slow.end(slow.start(target), target, OK, SOON);
      }
      slow.start(0);
      slow.pass(Duration.ofMillis(2_100));
      near.pass(Duration.ofMillis(2_100));
      slow.tell(near);
      assertThat(near.health.stallThreshold()).isEqualTo(Duration.ofSeconds(2));
    }
  }

  @Nested
  @Group
  class Floor {
    // Guards against a pool that ejects itself away when everything is sick.
    @Test
    void refusesEjectionsBelowIt() {
      for (int target = 0; target < 6; target++) {
        near.successes(5, 4, 3);
        near.start(target);
        near.pass(Duration.ofMillis(600));
      }
      assertThat(near.ejected()).hasSize(3);
      near.successes(5, 4, 3);
      for (int i = 0; i < 10; i++) {
        near.request(3, new SendResult.Broken());
      }
      near.pass(Duration.ofMillis(300));
      assertThat(near.decided(HealthDecision.EjectionRefused.class)).isNotEmpty();
      assertThat(near.health.warmTargets()).isEqualTo(3);
    }

    // Guards against leaving targets that take the pool below the floor beside ejected ones.
    @Test
    void bringsEjectedTargetsBackWhenOthersLeave() {
      eject(near);
      near.health.leaving(Set.of(Fixtures.id(1), Fixtures.id(2), Fixtures.id(3)), near.now());
      assertThat(near.status(0)).isEqualTo(IN_USE);
      assertThat(near.health.warmTargets()).isEqualTo(3);
    }

    // Guards against orders of events that none of the other tests has thought of.
    @Property(seed = "1001", tries = 300)
    void holdsInAnyOrderOfEvents(
        @ForAll @IntRange(min = 1, max = 16) int size,
        @ForAll @IntRange(max = 10) int tenths,
        @ForAll long seed) {
      UniformRandomProvider random = Fixtures.random(seed);
      HealthHarness instance = new HealthHarness(0, Fixtures.pool(size, tenths / 10.0), START);
      HealthHarness peer = new HealthHarness(1, Fixtures.pool(size, tenths / 10.0), START);
      for (int event = 0; event < 120; event++) {
        anyEvent(random, size, instance, peer);
        assertFloor(instance.health);
      }
    }

    private static void anyEvent(
        UniformRandomProvider random, int size, HealthHarness instance, HealthHarness peer) {
      int target = random.nextInt(size);
      switch (random.nextInt(9)) {
        case 0, 1 -> instance.start(target);
        case 2 -> instance.request(target, random.nextBoolean() ? OK : ERROR);
        case 3 -> instance.request(target, new SendResult.ConnectFailed());
        case 4 -> instance.request(target, new SendResult.Completed(200, random.nextInt(4) == 0));
        case 5 -> {
          peer.start(target);
          peer.pass(SOON);
          peer.tell(instance);
        }
        case 6 -> instance.health.leaving(anyTargets(random, size), instance.now());
        case 7 -> instance.health.configure(anyPool(random, size), instance.now());
        default -> instance.pass(Duration.ofMillis(random.nextInt(3_000)));
      }
    }

    private static Set<TargetId> anyTargets(UniformRandomProvider random, int size) {
      Set<TargetId> targets = new HashSet<>();
      for (int i = 0; i < size; i++) {
        if (random.nextInt(4) == 0) {
          targets.add(Fixtures.id(i));
        }
      }
      return targets;
    }

    private static Pool anyPool(UniformRandomProvider random, int size) {
      Set<TargetId> dropped = anyTargets(random, size);
      List<Target> kept =
          Fixtures.pool(size, 0).targets().stream()
              .filter(target -> !dropped.contains(target.id()))
              .toList();
      return new Pool(Fixtures.POOL, random.nextDouble(), 4, kept);
    }

    private static void assertFloor(PoolHealth health) {
      if (health.ejectedTargets() > 0) {
        assertThat(health.warmTargets()).isAtLeast(health.pool().floorTargets());
      }
    }
  }

  @Nested
  class InFlight {
    // Guards against reports of a moment that say little about the next 500 ms.
    @Test
    void isAveragedOverTheInterval() {
      near.successes(0);
      near.pass(Duration.ofMillis(80));
      assertThat(near.health.takeAverageInFlight(FAST.multipliedBy(5), near.now()))
          .containsExactly(Fixtures.id(0), 0.2);
    }
  }
}
