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
import org.bergamotcross.kernel.Now;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DelegationPlanTest {
  private static final String ORGANISATION = "depot";
  private static final int PEERS = 9;

  private final Member self = member(0);
  private final DelegationPlan plan = new DelegationPlan(self.id());
  private final Map<InstanceId, Now> heardAt = new HashMap<>();
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
    Now now = Now.ofMillis(millis);
    answering.forEach(peer -> heardAt.put(peer.id(), now));
    return plan.update(with(answering), this::state, 10, now);
  }

  private List<Member> with(List<Member> answering) {
    return Stream.concat(Stream.of(self), answering.stream()).toList();
  }

  private Optional<PeerState> state(InstanceId id) {
    return Optional.ofNullable(heardAt.get(id))
        .map(at -> new PeerState(at, confirmed.getOrDefault(id, 0L), released.contains(id)));
  }

  private static double wholeOf(Delegation delegation) {
    return delegation.candidates().list().stream()
        .mapToDouble(member -> delegation.part(ORGANISATION, member.id()))
        .sum();
  }

  @Nested
  class Shares {
    @Test
    void areDelegatedWhole() {
      assertThat(wholeOf(update(members(1, 4), 0))).isWithin(1e-9).of(0.1);
    }

    @Test
    void goToTheOwnInstanceWhenNobodyAnswers() {
      assertThat(update(List.of(), 0).part(ORGANISATION, self.id())).isWithin(1e-9).of(0.1);
    }

    @Test
    void areNotDelegatedWhileTheyMayNotBeUsed() {
      Delegation delegation =
          plan.update(members(0, 4), id -> Optional.empty(), 0, Now.ofMillis(0));
      assertThat(delegation.holders(ORGANISATION)).isNotEmpty();
      assertThat(wholeOf(delegation)).isEqualTo(0.0);
    }
  }

  @Nested
  class Places {
    private final int settling = (int) DelegationPlan.SETTLING.toMillis();

    @Test
    void ofASilentPeerAreFreeWhenItsLeaseHasEnded() {
      InstanceId holder = update(members(1, PEERS), 0).holders(ORGANISATION).getFirst().id();
      List<Member> others = members(1, PEERS).stream().filter(m -> !m.id().equals(holder)).toList();
      Delegation before = update(others, settling - 1);
      assertThat(before.part(ORGANISATION, holder)).isEqualTo(0.0);
      assertThat(wholeOf(before)).isLessThan(0.09);
      assertThat(wholeOf(update(others, settling + 1))).isWithin(1e-9).of(0.1);
    }

    @Test
    void ofAPeerThatStopsAreFreeAtOnce() {
      InstanceId holder = update(members(1, PEERS), 0).holders(ORGANISATION).getFirst().id();
      released.add(holder);
      List<Member> others = members(1, PEERS).stream().filter(m -> !m.id().equals(holder)).toList();
      assertThat(wholeOf(update(others, 10))).isWithin(1e-9).of(0.1);
    }

    @Test
    void areKeptByAPeerThatAnswersAgainInTime() {
      Delegation before = update(members(1, PEERS), 0);
      update(members(2, PEERS), 1_000);
      assertThat(update(members(1, PEERS), settling - 1)).isEqualTo(before);
    }

    @Test
    void ofANewPeerCountAfterTheLeasesOfThoseBefore() {
      update(members(1, 3), 0);
      Delegation joined = update(members(1, PEERS), 100);
      assertThat(joined.settling()).hasSize(PEERS - 3);
      assertThat(update(members(1, PEERS), 99 + settling).settling()).isNotEmpty();
      assertThat(update(members(1, PEERS), 100 + settling).settling()).isEmpty();
    }

    @Test
    void ofANewPeerCountWhenAllOthersKnowOfIt() {
      update(members(1, 3), 0);
      update(members(1, PEERS), 100);
      confirmed.put(member(1).id(), plan.version());
      assertThat(update(members(1, PEERS), 200).settling()).isNotEmpty();
      confirmed.put(member(2).id(), plan.version());
      update(members(1, PEERS), 300);
      int acted = 300 + (int) DelegationPlan.ACTING_LIMIT.toMillis();
      assertThat(update(members(1, PEERS), acted - 1).settling()).isNotEmpty();
      assertThat(update(members(1, PEERS), acted).settling()).isEmpty();
    }
  }

  /** Plays receivers that use a delegation as long as they may. */
  @Nested
  class Receivers {
    private static final int RUNS = 120;
    private static final int STEPS = 80;
    private static final int STEP_MS = 250;

    private record Sent(Delegation delegation, long version, int at) {}

    private List<Member> all = List.of();

    // Guards against two instances that use the same part of a share at one time.
    @Test
    void neverHoldMoreThanTheShareTogether() {
      for (int domains : new int[] {1, 2, 4}) {
        all = inDomains(domains);
        for (int seed = 0; seed < RUNS; seed++) {
          play(domains, seed);
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

    private void play(int domains, int seed) {
      Random random = new Random(seed);
      DelegationPlan played = new DelegationPlan(self.id());
      Map<InstanceId, PeerState> states = new HashMap<>();
      List<Sent> sent = new ArrayList<>();
      List<Member> answering = new ArrayList<>(all);
      for (int step = 0; step < STEPS; step++) {
        int at = step * STEP_MS;
        if (random.nextInt(3) == 0) {
          change(answering, random);
        }
        for (Member peer : answering) {
          long before =
              Optional.ofNullable(states.get(peer.id())).map(PeerState::confirmed).orElse(0L);
          boolean confirms = peer.id().equals(self.id()) || random.nextInt(3) == 0;
          states.put(
              peer.id(),
              new PeerState(Now.ofMillis(at), confirms ? played.version() : before, false));
        }
        Delegation delegation =
            played.update(
                answering, id -> Optional.ofNullable(states.get(id)), 10, Now.ofMillis(at));
        sent.add(new Sent(delegation, played.version(), at));
        assertWithMessage("%s domains, seed %s, step %s", domains, seed, step)
            .that(mostHeld(sent, at, states))
            .isAtMost(0.1 + 1e-9);
      }
    }

    private void change(List<Member> answering, Random random) {
      Member one = all.get(1 + random.nextInt(PEERS - 1));
      if (!answering.remove(one)) {
        answering.add(one);
      }
    }

    /**
     * Sums what receivers may use at most: each may have missed all but the delegation that serves
     * it best, unless it has confirmed a later one or its lease has ended.
     */
    private double mostHeld(List<Sent> sent, int now, Map<InstanceId, PeerState> states) {
      double sum = 0;
      for (Member receiver : all) {
        double most = sent.getLast().delegation().part(ORGANISATION, receiver.id());
        PeerState state = states.get(receiver.id());
        for (Sent each : sent) {
          if (state != null
              && each.version() >= state.confirmed()
              && now - Math.min(each.at(), state.heardAt().wallMillis())
                  < DelegationPlan.LEASE.toMillis()) {
            most = Math.max(most, each.delegation().part(ORGANISATION, receiver.id()));
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
    void isOutlastedByTheWaitOfWhoeverDelegates() {
      assertThat(DelegationPlan.SETTLING)
          .isGreaterThan(
              DelegationPlan.LEASE.plus(SteadyClockCheck.TOLERANCE).plus(Duration.ofMillis(100)));
    }
  }
}
