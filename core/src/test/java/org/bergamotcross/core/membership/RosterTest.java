package org.bergamotcross.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
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

    /** Records an echo, as received from an instance that answers. */
    private void answer(Member member, ClockReading now) {
      roster.recordAcknowledgement(member.id());
      roster.recordAlive(List.of(member.id()), now);
      roster.update(1, now);
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
      answer(B, later);
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

    // Guards against an instance that was frozen for hours, takes its own silence for that of the
    // others, and removes those whose answers arrive last.
    @Test
    void departOnlyWhenAMajorityHeardNothingAllTheTime() {
      settle();
      assertThat(roster.findDeparted(0, later)).isEmpty();
      ClockReading awake = later.plus(Duration.ofSeconds(1));
      answer(B, awake);
      assertThat(roster.findDeparted(1, awake)).isEmpty();
      ClockReading muchLater = later.plus(Roster.RETENTION).plus(Duration.ofSeconds(2));
      answer(B, muchLater);
      assertThat(roster.findDeparted(1, muchLater)).containsExactly(C.id());
    }

    // Guards against the removal of an instance that another one still hears, which is cut off
    // from this one but known to a relay.
    @Test
    void remainUntilNoInstanceWasAliveElsewhereForTheRetention() {
      List<Member> majority = List.of(B, member("d"), member("e"));
      Member elsewhere = member("f");
      majority.forEach(m -> roster.add(m, LEASES_EXPIRED));
      roster.add(elsewhere, LEASES_EXPIRED);
      settle();
      majority.forEach(m -> answer(m, later));
      roster.recordAlive(List.of(elsewhere.id()), later);
      assertThat(roster.findDeparted(3, later)).isEmpty();
      ClockReading silent = later.plus(Duration.ofMinutes(10));
      majority.forEach(m -> answer(m, silent));
      assertThat(roster.findDeparted(3, silent)).isEmpty();
      ClockReading muchLater = silent.plus(Roster.RETENTION);
      majority.forEach(m -> answer(m, muchLater));
      assertThat(roster.findDeparted(3, muchLater)).containsExactly(C.id(), elsewhere.id());
    }

    // Guards against removals that every short outage of any instance puts off.
    @Test
    void departAlthoughAnotherInstanceHasJustDied() {
      List<Member> majority = List.of(B, member("d"), member("e"));
      Member dying = member("f");
      majority.forEach(m -> roster.add(m, LEASES_EXPIRED));
      roster.add(dying, LEASES_EXPIRED);
      settle();
      majority.forEach(m -> answer(m, later));
      answer(dying, later);
      ClockReading reported = later.plus(Duration.ofSeconds(13));
      majority.forEach(m -> answer(m, reported));
      roster.recordAlive(List.of(dying.id()), reported);
      assertThat(roster.findDeparted(3, reported)).containsExactly(C.id());
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

  @Nested
  class Relays {
    @Test
    void acknowledgeNewInstancesForOthers() {
      roster.applyDirectory(List.of(B, C), false, START);
      roster.recordAcknowledgement(B.id());
      roster.recordAcknowledgements(List.of(C.id(), member("unknown").id()));
      roster.update(1, START);
      assertThat(roster.awaitsRegistration()).isTrue();
      assertThat(roster.size()).isEqualTo(3);
    }

    // Guards against a fraction that is used twice: an instance that counts the restarted one, but
    // does not know its new incarnation, may still use a lease of the previous one.
    @Test
    void doNotSpareRestartedInstancesTheWaitForEarlierLeases() {
      roster.applyDirectory(List.of(B, C), true, START);
      roster.recordAcknowledgement(B.id());
      roster.recordAcknowledgements(List.of(C.id()));
      assertThat(isUsable(2, LEASES_EXPIRED.plus(Duration.ofMillis(-1)))).isFalse();
      assertThat(isUsable(2, LEASES_EXPIRED)).isTrue();
    }
  }

  @Nested
  class Digests {
    // Guards against positions in the list of members that mean different instances to two
    // instances with the same digest.
    @Test
    void areEqualForTheSameInstancesInAnyOrder() {
      Roster other = new Roster(B, START);
      roster.add(B, START);
      roster.add(C, START);
      other.applyDirectory(List.of(C, SELF), false, START);
      assertThat(roster.digest()).isEqualTo(other.digest());
      assertThat(roster.members()).isEqualTo(other.members());
    }

    @Test
    void changeWithEachInstance() {
      Set<Long> digests = new HashSet<>();
      digests.add(roster.digest());
      for (int i = 0; i < 300; i++) {
        roster.add(member("entry-" + i), START);
        roster.add(member("entry-" + i), START);
        digests.add(roster.digest());
      }
      assertThat(digests).hasSize(301);
    }

    @Test
    void returnWhenAnInstanceIsRemoved() {
      roster.add(B, START);
      long before = roster.digest();
      roster.add(C, START);
      roster.remove(C.id());
      roster.remove(C.id());
      assertThat(roster.digest()).isEqualTo(before);
    }
  }
}
