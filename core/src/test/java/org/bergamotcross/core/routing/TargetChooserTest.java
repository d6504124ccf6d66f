package org.bergamotcross.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetChooserTest {
  private static final InstanceId PEER = new InstanceId("entry-2");
  private static final HealthView HEALTHY = new HealthView(Map.of());
  private static final ClockReading START = ClockReading.ofMillis(1_000);

  private final InFlightCounts inFlight = new InFlightCounts();
  private final TargetNotices notices = new TargetNotices(Fixtures.random(8));
  private final TargetChooser chooser =
      new TargetChooser(
          Fixtures.domain(0),
          inFlight,
          new FailureRisk(),
          new PoolLoad(),
          notices,
          Fixtures.random(7));

  private TargetChoice choose(Pool pool, HealthView health, boolean idempotent, ClockReading now) {
    return chooser.choose(pool, health, idempotent, Optional.empty(), now);
  }

  private static Map<TargetId, Integer> countByTarget(List<TargetChoice> choices) {
    Map<TargetId, Integer> counts = new HashMap<>();
    for (TargetChoice choice : choices) {
      counts.merge(((TargetChoice.Chosen) choice).target().id(), 1, Integer::sum);
    }
    return counts;
  }

  private List<TargetChoice> chooseOften(int times, Pool pool, HealthView health) {
    return IntStream.range(0, times).mapToObj(i -> choose(pool, health, false, START)).toList();
  }

  @Nested
  class Load {
    // Guards against requests for a busy target while an idle one is known.
    @Test
    void prefersTheTargetWithFewerRequests() {
      inFlight.onAttemptStarted(Fixtures.id(0));
      TargetChoice choice = choose(Fixtures.pool(2, 0.5), HEALTHY, false, START);
      assertThat(countByTarget(List.of(choice))).containsExactly(Fixtures.id(1), 1);
    }

    // Guards against instances that count only their own requests and together overload a target.
    @Test
    void includesPeerReports() {
      inFlight.onPeerReport(PEER, Map.of(Fixtures.id(1), 1.6), START);
      TargetChoice choice = choose(Fixtures.pool(2, 0.5), HEALTHY, false, START);
      assertThat(countByTarget(List.of(choice))).containsExactly(Fixtures.id(0), 1);
    }

    // Guards against slots that stay occupied by the last report of a lost peer.
    @Test
    void ignoresStalePeerReports() {
      inFlight.onPeerReport(PEER, Map.of(Fixtures.id(0), 4.0), START);
      assertThat(choose(Fixtures.pool(1, 0), HEALTHY, false, START))
          .isInstanceOf(TargetChoice.AllBusy.class);
      ClockReading later =
          START.plus(InFlightCounts.MAX_PEER_REPORT_AGE).plus(Duration.ofMillis(1));
      assertThat(choose(Fixtures.pool(1, 0), HEALTHY, false, later))
          .isInstanceOf(TargetChoice.Chosen.class);
    }

    // Guards against unnecessary traffic between failure domains.
    @Test
    void prefersTheOwnFailureDomainAtATie() {
      Map<TargetId, Integer> counts =
          countByTarget(chooseOften(300, Fixtures.pool(3, 0.5), HEALTHY));
      // The local target wins each draw that it takes part in, which is two of three.
      assertThat(counts.get(Fixtures.id(0))).isAtLeast(170);
      assertThat(counts).hasSize(3);
    }

    // Guards against a recovering target that gets its full load immediately.
    @Test
    void drawsARampingTargetLessOften() {
      HealthView health = new HealthView(Map.of(Fixtures.id(1), new TargetStatus.Available(0.1)));
      Map<TargetId, Integer> counts =
          countByTarget(chooseOften(1_000, Fixtures.pool(12, 0.5), health));
      assertThat(counts.getOrDefault(Fixtures.id(1), 0)).isAtMost(20);
    }

    // Guards against a target that sheds immediately, looks idle and draws most of the requests.
    @Test
    void avoidsATargetAfterARejection() {
      notices.onRejected(Fixtures.id(0), Optional.empty(), START);
      assertThat(countByTarget(chooseOften(50, Fixtures.pool(2, 0.5), HEALTHY)))
          .containsExactly(Fixtures.id(1), 50);
      ClockReading later = START.plus(TargetNotices.DEFAULT_PAUSE);
      inFlight.onAttemptStarted(Fixtures.id(1));
      assertThat(countByTarget(List.of(choose(Fixtures.pool(2, 0.5), HEALTHY, false, later))))
          .containsExactly(Fixtures.id(0), 1);
    }

    // Guards against a retry at the target that has just failed.
    @Test
    void usesThePreviousTargetOnlyWhenThereIsNoOther() {
      Optional<TargetId> previous = Optional.of(Fixtures.id(0));
      TargetChoice other = chooser.choose(Fixtures.pool(2, 0), HEALTHY, true, previous, START);
      assertThat(countByTarget(List.of(other))).containsExactly(Fixtures.id(1), 1);
      TargetChoice only = chooser.choose(Fixtures.pool(1, 0), HEALTHY, true, previous, START);
      assertThat(only).isInstanceOf(TargetChoice.Chosen.class);
    }
  }

  @Nested
  @Group
  class Slots {
    // Guards against more requests in flight at a target than it has slots.
    @Property(seed = "4711", tries = 200)
    void areNeverExceeded(
        @ForAll @IntRange(min = 1, max = 16) int size,
        @ForAll long seed,
        @ForAll @IntRange(max = 5) int peerLoad) {
      InFlightCounts counts = new InFlightCounts();
      TargetChooser any =
          new TargetChooser(
              Fixtures.domain(1),
              counts,
              new FailureRisk(),
              new PoolLoad(),
              new TargetNotices(Fixtures.random(seed)),
              Fixtures.random(seed));
      Pool pool = Fixtures.pool(size, 0.5);
      counts.onPeerReport(PEER, Map.of(Fixtures.id(0), (double) peerLoad), START);
      for (int i = 0; i < 4 * size + 10; i++) {
        TargetChoice choice = any.choose(pool, HEALTHY, false, Optional.empty(), START);
        if (choice instanceof TargetChoice.Chosen chosen) {
          counts.onAttemptStarted(chosen.target().id());
          assertThat(counts.total(chosen.target().id(), START)).isAtMost(pool.slots());
        }
      }
      assertThat(any.choose(pool, HEALTHY, false, Optional.empty(), START))
          .isInstanceOf(TargetChoice.AllBusy.class);
    }
  }

  @Nested
  class TrialRequests {
    private final HealthView trial =
        new HealthView(Map.of(Fixtures.id(0), new TargetStatus.Trial()));

    // Guards against a non-idempotent request that is sent as a trial request to a failed target.
    @Test
    void areIdempotent() {
      assertThat(choose(Fixtures.pool(1, 0), trial, false, START))
          .isInstanceOf(TargetChoice.NoneAvailable.class);
    }

    // Guards against a burst of trial requests before the health duty learns of the first one.
    @Test
    void areSentOnceWhileTheViewIsUnchanged() {
      Pool pool = Fixtures.pool(2, 0.5);
      assertThat(((TargetChoice.Chosen) choose(pool, trial, true, START)).trial()).isTrue();
      for (int i = 0; i < 20; i++) {
        assertThat(((TargetChoice.Chosen) choose(pool, trial, true, START)).trial()).isFalse();
      }
      ClockReading later = START.plus(TargetChooser.MIN_TRIAL_INTERVAL);
      assertThat(((TargetChoice.Chosen) choose(pool, trial, true, later)).trial()).isTrue();
    }
  }

  @Nested
  class TargetsThatAskedForAPause {
    // Guards against requests for a target before the end of the pause that it asked for.
    @Test
    void getNoRequestUntilItsEnd() {
      notices.onRejected(Fixtures.id(0), Optional.of(Duration.ofMillis(3_500)), START);
      Pool pool = Fixtures.pool(2, 0.5);
      for (int millis = 0; millis < 3_500; millis += 50) {
        TargetChoice choice =
            choose(pool, HEALTHY, millis % 100 == 0, START.plus(Duration.ofMillis(millis)));
        assertThat(countByTarget(List.of(choice))).containsExactly(Fixtures.id(1), 1);
      }
    }

    // Guards against requests that wait for a pool in which no target takes any.
    @Test
    void areReportedWhenNoOtherIsLeft() {
      notices.onRejected(Fixtures.id(0), Optional.of(Duration.ofSeconds(9)), START);
      notices.onRejected(Fixtures.id(1), Optional.of(Duration.ofSeconds(4)), START);
      TargetChoice choice = choose(Fixtures.pool(2, 0.5), HEALTHY, true, START);
      assertThat(((TargetChoice.AllPaused) choice).until())
          .isAtLeast(START.plus(Duration.ofSeconds(4)));
      assertThat(((TargetChoice.AllPaused) choice).until())
          .isAtMost(START.plus(Duration.ofSeconds(5)));
    }

    // Guards against the refusal of requests while a target is only busy.
    @Test
    void areWaitedForWhileAnotherIsBusy() {
      notices.onRejected(Fixtures.id(0), Optional.of(Duration.ofSeconds(9)), START);
      inFlight.onPeerReport(PEER, Map.of(Fixtures.id(1), 4.0), START);
      assertThat(choose(Fixtures.pool(2, 0.5), HEALTHY, true, START))
          .isInstanceOf(TargetChoice.AllBusy.class);
    }
  }

  @Nested
  class LeavingTargets {
    // Guards against new work, trial requests included, for a target that announced its departure.
    @Test
    void getNoRequests() {
      notices.onLeaving(Fixtures.pool(2, 0.5).targets().get(0), START);
      HealthView trial = new HealthView(Map.of(Fixtures.id(0), new TargetStatus.Trial()));
      for (HealthView health : List.of(HEALTHY, trial)) {
        TargetChoice choice = choose(Fixtures.pool(2, 0.5), health, true, START);
        assertThat(countByTarget(List.of(choice))).containsExactly(Fixtures.id(1), 1);
      }
      assertThat(choose(Fixtures.pool(1, 0.5), HEALTHY, true, START))
          .isInstanceOf(TargetChoice.NoneAvailable.class);
    }
  }

  @Nested
  class UnavailableTargets {
    // Guards against requests for unavailable targets, even when all others are busy.
    @Test
    void getNoRequests() {
      HealthView health =
          new HealthView(
              Map.of(
                  Fixtures.id(0), new TargetStatus.Unavailable(TargetStatus.Reason.EJECTED),
                  Fixtures.id(1), new TargetStatus.Unavailable(TargetStatus.Reason.DRAINING)));
      assertThat(choose(Fixtures.pool(2, 0), health, true, START))
          .isInstanceOf(TargetChoice.NoneAvailable.class);
      assertThat(countByTarget(chooseOften(40, Fixtures.pool(3, 0), health)))
          .containsExactly(Fixtures.id(2), 40);
    }
  }
}
