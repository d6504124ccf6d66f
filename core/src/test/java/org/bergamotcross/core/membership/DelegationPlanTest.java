package org.bergamotcross.core.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.bergamotcross.core.membership.DelegationPlan.PeerState;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against shares that are lost, or delegated twice, while candidates join and leave. */
class DelegationPlanTest {
  private static final String ORGANISATION = "depot";
  private static final int PEERS = 9;

  private final Member self = member(0);
  private final DelegationPlan plan = new DelegationPlan(self.id());
  private final Map<InstanceId, ClockReading> heardAt = new HashMap<>();
  private final Map<InstanceId, Long> confirmed = new HashMap<>();
  private final Set<InstanceId> released = new HashSet<>();

  private static Member member(int index) {
    return new Member(
        new InstanceId("entry-" + index), 1, new FailureDomain("d" + index % 4), "host-" + index);
  }

  private static List<Member> members(int from, int to) {
    return IntStream.range(from, to).mapToObj(DelegationPlanTest::member).toList();
  }

  private Delegation update(List<Member> answering, int millis) {
    ClockReading now = ClockReading.ofMillis(millis);
    answering.forEach(peer -> heardAt.put(peer.id(), now));
    return plan.update(withSelf(answering), this::peerState, 10, now);
  }

  private List<Member> withSelf(List<Member> answering) {
    return Stream.concat(Stream.of(self), answering.stream()).toList();
  }

  private Optional<PeerState> peerState(InstanceId id) {
    return Optional.ofNullable(heardAt.get(id))
        .map(at -> new PeerState(at, confirmed.getOrDefault(id, 0L), released.contains(id)));
  }

  private static double totalFraction(Delegation delegation) {
    return delegation.candidates().list().stream()
        .mapToDouble(member -> delegation.rateFraction(ORGANISATION, member.id()))
        .sum();
  }

  @Nested
  class Shares {
    @Test
    void areDelegatedInFull() {
      assertThat(totalFraction(update(members(1, 4), 0))).isWithin(1e-9).of(0.1);
    }

    @Test
    void stayWithTheLocalInstanceWhenNobodyAnswers() {
      assertThat(update(List.of(), 0).rateFraction(ORGANISATION, self.id())).isWithin(1e-9).of(0.1);
    }

    @Test
    void areNotDelegatedWhileTheLocalInstanceMayNotUseThem() {
      Delegation delegation =
          plan.update(members(0, 4), id -> Optional.empty(), 0, ClockReading.ofMillis(0));
      assertThat(delegation.holders(ORGANISATION)).isNotEmpty();
      assertThat(totalFraction(delegation)).isEqualTo(0.0);
    }
  }

  @Nested
  class Candidates {
    private final int expiryMillis = (int) DelegationPlan.LEASE_EXPIRY.toMillis();

    @Test
    void areRemovedWhenTheirLeaseHasExpiredInSilence() {
      InstanceId holder = update(members(1, PEERS), 0).holders(ORGANISATION).getFirst().id();
      List<Member> others = members(1, PEERS).stream().filter(m -> !m.id().equals(holder)).toList();
      Delegation before = update(others, expiryMillis - 1);
      assertThat(before.rateFraction(ORGANISATION, holder)).isEqualTo(0.0);
      assertThat(totalFraction(before)).isLessThan(0.09);
      assertThat(totalFraction(update(others, expiryMillis + 1))).isWithin(1e-9).of(0.1);
    }

    @Test
    void areRemovedAtOnceWhenTheyStop() {
      InstanceId holder = update(members(1, PEERS), 0).holders(ORGANISATION).getFirst().id();
      released.add(holder);
      List<Member> others = members(1, PEERS).stream().filter(m -> !m.id().equals(holder)).toList();
      assertThat(totalFraction(update(others, 10))).isWithin(1e-9).of(0.1);
    }

    @Test
    void remainWhenTheyAnswerAgainBeforeTheirLeaseExpires() {
      Delegation before = update(members(1, PEERS), 0);
      update(members(2, PEERS), 1_000);
      assertThat(update(members(1, PEERS), expiryMillis - 1)).isEqualTo(before);
    }

    @Test
    void becomeActiveWhenEarlierLeasesHaveExpired() {
      update(members(1, 3), 0);
      Delegation joined = update(members(1, PEERS), 100);
      assertThat(joined.settling()).hasSize(PEERS - 3);
      assertThat(update(members(1, PEERS), 99 + expiryMillis).settling()).isNotEmpty();
      assertThat(update(members(1, PEERS), 100 + expiryMillis).settling()).isEmpty();
    }

    @Test
    void becomeActiveWhenAllOthersHaveConfirmedThem() {
      update(members(1, 3), 0);
      update(members(1, PEERS), 100);
      confirmed.put(member(1).id(), plan.version());
      assertThat(update(members(1, PEERS), 200).settling()).isNotEmpty();
      confirmed.put(member(2).id(), plan.version());
      update(members(1, PEERS), 300);
      int appliedAt = 300 + (int) DelegationPlan.MAX_APPLY_DELAY.toMillis();
      assertThat(update(members(1, PEERS), appliedAt - 1).settling()).isNotEmpty();
      assertThat(update(members(1, PEERS), appliedAt).settling()).isEmpty();
    }
  }

  /** Simulates receivers that use each delegation for as long as they may. */
  @Nested
  class Receivers {
    private static final int RUNS = 120;
    private static final int STEPS = 80;
    private static final int STEP_MS = 250;

    private record Sent(Delegation delegation, long version, int at) {}

    private List<Member> allMembers = List.of();

    // Guards against two instances that use the same fraction of a share at the same time. It comes
    // about when a receiver misses a later delegation and goes on to use the earlier one.
    @Test
    void neverHoldMoreThanTheShareInTotal() {
      for (int domains : new int[] {1, 2, 4}) {
        allMembers = inDomains(domains);
        for (int seed = 0; seed < RUNS; seed++) {
          simulate(domains, seed);
        }
      }
    }

    private List<Member> inDomains(int domains) {
      return members(0, PEERS).stream()
          .map(
              member ->
                  new Member(
                      member.id(),
                      1,
                      new FailureDomain("d" + Math.floorMod(member.id().hashCode(), domains)),
                      ""))
          .toList();
    }

    private void simulate(int domains, int seed) {
      Random random = new Random(seed);
      DelegationPlan simulated = new DelegationPlan(self.id());
      Map<InstanceId, PeerState> states = new HashMap<>();
      List<Sent> sent = new ArrayList<>();
      List<Member> answering = new ArrayList<>(allMembers);
      for (int step = 0; step < STEPS; step++) {
        int at = step * STEP_MS;
        if (random.nextInt(3) == 0) {
          togglePeer(answering, random);
        }
        for (Member peer : answering) {
          long before =
              Optional.ofNullable(states.get(peer.id()))
                  .map(PeerState::confirmedVersion)
                  .orElse(0L);
          boolean confirms = peer.id().equals(self.id()) || random.nextInt(3) == 0;
          states.put(
              peer.id(),
              new PeerState(
                  ClockReading.ofMillis(at), confirms ? simulated.version() : before, false));
        }
        Delegation delegation =
            simulated.update(
                answering,
                id -> Optional.ofNullable(states.get(id)),
                10,
                ClockReading.ofMillis(at));
        sent.add(new Sent(delegation, simulated.version(), at));
        assertWithMessage("%s domains, seed %s, step %s", domains, seed, step)
            .that(maxTotalFraction(sent, at, states))
            .isAtMost(0.1 + 1e-9);
      }
    }

    private void togglePeer(List<Member> answering, Random random) {
      Member toggled = allMembers.get(1 + random.nextInt(PEERS - 1));
      if (!answering.remove(toggled)) {
        answering.add(toggled);
      }
    }

    /**
     * Returns the upper bound of the fraction in use: each receiver may have missed all delegations
     * but the most favourable one, unless it has confirmed a later version or its lease has
     * expired.
     */
    private double maxTotalFraction(List<Sent> sent, int now, Map<InstanceId, PeerState> states) {
      double sum = 0;
      for (Member receiver : allMembers) {
        double most = sent.getLast().delegation().rateFraction(ORGANISATION, receiver.id());
        PeerState peerState = states.get(receiver.id());
        for (Sent each : sent) {
          if (peerState != null
              && each.version() >= peerState.confirmedVersion()
              && now - Math.min(each.at(), peerState.lastHeardAt().wallMillis())
                  < DelegationPlan.LEASE_DURATION.toMillis()) {
            most = Math.max(most, each.delegation().rateFraction(ORGANISATION, receiver.id()));
          }
        }
        sum += most;
      }
      return sum;
    }
  }

  @Nested
  class Lease {
    @Test
    void endsBeforeTheDelegatingInstanceRegardsItAsExpired() {
      assertThat(DelegationPlan.LEASE_EXPIRY)
          .isGreaterThan(
              DelegationPlan.LEASE_DURATION
                  .plus(SuspensionDetector.SCHEDULING_TOLERANCE)
                  .plus(Duration.ofMillis(100)));
    }
  }
}
