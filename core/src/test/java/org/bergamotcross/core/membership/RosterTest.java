package org.bergamotcross.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against shares that are used by instances which the others do not count. */
class RosterTest {
  private static final Member SELF = member("a");
  private static final Member B = member("b");
  private static final Member C = member("c");
  private static final ClockReading START = ClockReading.ofMillis(0);
  private static final ClockReading LEASES_EXPIRED = START.plus(DelegationPlan.LEASE_EXPIRY);

  private final Roster roster = new Roster(SELF, START);

  private static Member member(String id) {
    return new Member(new InstanceId(id), 1, new FailureDomain("d"), "host-" + id);
  }

  private boolean isUsable(int answering, ClockReading now) {
    roster.update(answering, now);
    return roster.isShareUsable();
  }

  @Nested
  class NewInstances {
    // Guards against an instance that takes itself to be the only one and uses the whole rate.
    @Test
    void mayNotUseAShareBeforeTheDirectoryIsRead() {
      assertThat(isUsable(0, START.plus(Duration.ofDays(1)))).isFalse();
      assertThat(roster.awaitsRegistration()).isFalse();
    }

    @Test
    void areRegisteredWhenAllCountThem() {
      roster.applyDirectory(List.of(B, C), false, START);
      roster.recordAcknowledgement(B.id());
      roster.update(2, START);
      assertThat(roster.awaitsRegistration()).isFalse();
      roster.recordAcknowledgement(C.id());
      roster.update(2, START);
      assertThat(roster.awaitsRegistration()).isTrue();
    }

    // The others delegate larger shares until they have counted the new instance for the duration
    // of a lease.
    @Test
    void mayUseAShareOnlyAfterTheLeasesOfTheOthers() {
      roster.applyDirectory(List.of(B), false, START);
      roster.recordAcknowledgement(B.id());
      roster.update(1, START);
      roster.applyDirectory(List.of(B), true, START);
      assertThat(isUsable(1, LEASES_EXPIRED.plus(Duration.ofMillis(-1)))).isFalse();
      assertThat(isUsable(1, LEASES_EXPIRED)).isTrue();
    }

    // Two instances that are registered at the same time discover each other when they read the
    // directory again.
    @Test
    void waitForInstancesThatWereRegisteredConcurrently() {
      roster.applyDirectory(List.of(), false, START);
      roster.update(0, START);
      roster.applyDirectory(List.of(B), true, START);
      assertThat(isUsable(1, LEASES_EXPIRED.plus(Duration.ofDays(1)))).isFalse();
      roster.recordAcknowledgement(B.id());
      roster.update(1, LEASES_EXPIRED);
      assertThat(isUsable(1, LEASES_EXPIRED.plus(DelegationPlan.LEASE_EXPIRY))).isTrue();
    }
  }

  @Nested
  class RestartedInstances {
    @Test
    void mayUseTheirShareAtOnceWhenAllHaveAcknowledgedThem() {
      roster.applyDirectory(List.of(B, C), true, START);
      roster.recordAcknowledgement(B.id());
      assertThat(isUsable(2, START)).isFalse();
      roster.recordAcknowledgement(C.id());
      assertThat(isUsable(2, START)).isTrue();
    }

    @Test
    void waitForTheLeasesOfTheirPreviousIncarnationOtherwise() {
      roster.applyDirectory(List.of(B, C), true, START);
      assertThat(isUsable(2, LEASES_EXPIRED.plus(Duration.ofMillis(-1)))).isFalse();
      assertThat(isUsable(2, LEASES_EXPIRED)).isTrue();
    }

    // A step of the wall clock must not shorten the wait.
    @Test
    void waitByTheMonotonicClock() {
      roster.applyDirectory(List.of(B, C), true, START);
      roster.update(2, START);
      assertThat(isUsable(2, new ClockReading(1_000_000, 3_600_000))).isFalse();
    }
  }

  @Nested
  class SilentInstances {
    private final ClockReading later =
        LEASES_EXPIRED.plus(Roster.RETENTION).plus(Duration.ofSeconds(1));

    private void settle() {
      roster.applyDirectory(List.of(B, C), true, START);
      assertThat(isUsable(2, LEASES_EXPIRED)).isTrue();
      roster.recordAlive(List.of(B.id(), C.id()), LEASES_EXPIRED);
    }

    // They may be partitioned and still use their share.
    @Test
    void remainCounted() {
      settle();
      roster.update(0, LEASES_EXPIRED.plus(Duration.ofHours(1)));
      assertThat(roster.size()).isEqualTo(3);
      assertThat(roster.findDeparted(0, later)).isEmpty();
    }

    @Test
    void departAfterALongSilenceToAMajority() {
      settle();
      roster.recordAlive(List.of(B.id()), later);
      assertThat(roster.findDeparted(1, later)).containsExactly(C.id());
      assertThat(roster.size()).isEqualTo(3);
      roster.remove(C.id());
      assertThat(roster.size()).isEqualTo(2);
    }

    // Guards against a share in use by an instance that a majority no longer counts.
    @Test
    void stopUsingTheirShareBeforeTheOthersStopCountingThem() {
      settle();
      ClockReading sooner = LEASES_EXPIRED.plus(Roster.RETENTION).plus(Duration.ofMinutes(-4));
      assertThat(isUsable(0, sooner)).isFalse();
      roster.recordAcknowledgement(B.id());
      roster.recordAcknowledgement(C.id());
      assertThat(isUsable(2, sooner.plus(Duration.ofMinutes(10)))).isFalse();
      assertThat(roster.awaitsRegistration()).isTrue();
    }

    @Test
    void keepTheirShareWhenTheOthersAreNotAMajority() {
      roster.applyDirectory(List.of(B), true, START);
      assertThat(isUsable(1, LEASES_EXPIRED)).isTrue();
      assertThat(isUsable(0, later)).isTrue();
    }

    // The monotonic clock of a suspended machine does not show how long the others received
    // nothing.
    @Test
    void countASuspensionAsSilence() {
      settle();
      ClockReading awake =
          new ClockReading(
              LEASES_EXPIRED.plus(Duration.ofSeconds(1)).monotonicNanos(), later.wallMillis());
      assertThat(isUsable(0, awake)).isFalse();
    }
  }
}
