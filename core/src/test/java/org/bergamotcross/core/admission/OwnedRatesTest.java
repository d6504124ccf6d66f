package org.bergamotcross.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.kernel.Now;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Plays a fleet of instances with delayed messages against one organisation's rate. */
class OwnedRatesTest {
  private static final int INSTANCES = 18;
  private static final double RATE = 36;
  private static final double BURST = 36;
  private static final int WINDOW_MS = 5_000;
  private static final int MESSAGE_MS = 3;
  private static final OrganisationId ID = new OrganisationId("depot");

  private record Delivery(int at, int from, PeerMessage message) {}

  /** A fleet in simulated time, in steps of 1 ms. */
  private static final class Fleet {
    final List<OwnedRates> rates = new ArrayList<>();
    final Set<Integer> dead = new HashSet<>();
    final Set<Integer> cut = new HashSet<>();
    final Deque<Delivery> network = new ArrayDeque<>();
    final List<Integer> admittedAt = new ArrayList<>();
    int refused;
    int millis;
    int requests;

    Fleet(double rate, double burst) {
      for (int i = 0; i < INSTANCES; i++) {
        rates.add(new OwnedRates(id(i), 1_000));
      }
      configure(rate, burst);
      see();
    }

    static InstanceId id(int index) {
      return new InstanceId("entry-" + index);
    }

    void configure(double rate, double burst) {
      TeamSettings team =
          new TeamSettings(
              "team", List.of(new Organisation(ID, rate, burst)), List.of(), List.of(), List.of());
      Configuration configuration =
          Configuration.of(1, Map.of("team", team), Set.of(), Members.NONE);
      rates.forEach(r -> r.configure(configuration, now()));
    }

    /** Tells each instance which others it hears; silent ones are still known. */
    void see() {
      for (int i = 0; i < INSTANCES; i++) {
        Set<InstanceId> heard = new HashSet<>();
        for (int j = 0; j < INSTANCES; j++) {
          if (j != i && !dead.contains(j) && cut.contains(i) == cut.contains(j)) {
            heard.add(id(j));
          }
        }
        rates.get(i).peers(new PeerView(heard, INSTANCES - 1 - dead.size()), now());
      }
    }

    Now now() {
      return Now.ofMillis(millis);
    }

    void run(int forMs, double perSecond) {
      int end = millis + forMs;
      double due = 0;
      while (millis < end) {
        due += perSecond / 1_000;
        for (; due >= 1; due--) {
          arrive(requests * 7 % INSTANCES);
        }
        deliver();
        for (int i = 0; i < INSTANCES; i++) {
          if (!dead.contains(i)) {
            take(i, rates.get(i).step(now()));
          }
        }
        millis++;
      }
    }

    private void arrive(int preferred) {
      int index = preferred;
      while (dead.contains(index)) {
        index = (index + 1) % INSTANCES;
      }
      String request = "r" + requests++;
      RateDecision decision =
          rates
              .get(index)
              .arrive(
                  request,
                  new Organisation(ID, RATE, BURST),
                  now().plus(Duration.ofSeconds(5)),
                  now());
      count(decision);
    }

    private void take(int index, RateStep step) {
      step.messages().forEach(m -> network.add(new Delivery(millis + MESSAGE_MS, index, m)));
      step.ended().forEach(ended -> count(ended.decision()));
    }

    private void count(RateDecision decision) {
      switch (decision) {
        case RateDecision.Admitted ignored -> admittedAt.add(millis);
        case RateDecision.Refused ignored -> refused++;
        case RateDecision.Waiting ignored -> {}
      }
    }

    private void deliver() {
      while (!network.isEmpty() && network.peek().at() <= millis) {
        Delivery delivery = network.poll();
        int to = Integer.parseInt(delivery.message().to().value().substring("entry-".length()));
        boolean lost = dead.contains(to) || cut.contains(to) != cut.contains(delivery.from());
        if (!lost) {
          rates.get(to).onMessage(id(delivery.from()), delivery.message().message(), now());
        }
      }
    }

    int owner() {
      InstanceId owner = rates.getFirst().owner(ID, now());
      return Integer.parseInt(owner.value().substring("entry-".length()));
    }

    /** Returns the most requests that were admitted within one window. */
    int mostInWindow() {
      int most = 0;
      int first = 0;
      for (int last = 0; last < admittedAt.size(); last++) {
        while (admittedAt.get(last) - admittedAt.get(first) > WINDOW_MS) {
          first++;
        }
        most = Math.max(most, last - first + 1);
      }
      return most;
    }
  }

  /** The bound of the users' letter: a tenth and 20 requests above rate and burst. */
  private static double bound(double rate, double burst) {
    return (rate * WINDOW_MS / 1_000 + burst) * 1.1 + 20;
  }

  @Nested
  class Bound {
    // Guards against instances that together admit more than the rate and burst.
    @Test
    void holdsWhenOneOrganisationSendsEightTimesItsRate() {
      Fleet fleet = new Fleet(RATE, BURST);
      fleet.run(10_000, RATE * 0.6);
      fleet.run(10_000, RATE * 8);
      assertThat((double) fleet.mostInWindow()).isAtMost(bound(RATE, BURST));
    }

    // Guards against a burst that each new owner brings with it.
    @Test
    void holdsWhenOwnersDieOneAfterTheOther() {
      Fleet fleet = new Fleet(RATE, BURST);
      fleet.run(5_000, RATE * 4);
      for (int i = 0; i < 4; i++) {
        fleet.dead.add(fleet.owner());
        fleet.see();
        fleet.run(1_500, RATE * 4);
      }
      assertThat((double) fleet.mostInWindow()).isAtMost(bound(RATE, BURST));
    }

    // Guards against two owners with the whole rate each, one on either side of a partition.
    @Test
    void holdsInAPartition() {
      Fleet fleet = new Fleet(RATE, BURST);
      fleet.run(5_000, RATE * 4);
      for (int i = 0; i < 5; i++) {
        fleet.cut.add(i);
      }
      fleet.see();
      fleet.run(8_000, RATE * 4);
      assertThat((double) fleet.mostInWindow()).isAtMost(bound(RATE, BURST));
    }

    // Guards against tokens of the old rate that are used after the operator has lowered it.
    @Test
    void followsALowerRate() {
      Fleet fleet = new Fleet(RATE, BURST);
      fleet.run(8_000, RATE);
      fleet.configure(RATE / 4, BURST / 4);
      fleet.run(1_000, RATE);
      fleet.admittedAt.clear();
      fleet.run(10_000, RATE);
      assertThat((double) fleet.mostInWindow()).isAtMost(bound(RATE / 4, BURST / 4));
    }
  }

  @Nested
  class WithinTheRate {
    // Guards against refusals although the organisation stays within its rate.
    @Test
    void nothingIsRefused() {
      Fleet fleet = new Fleet(RATE, BURST);
      fleet.run(2_000, 0);
      fleet.run(20_000, RATE * 0.7);
      assertThat(fleet.refused).isEqualTo(0);
    }

    // Guards against an organisation that is refused until its dead owner is forgotten.
    @Test
    void fewAreRefusedWhenTheOwnerDiesUnnoticed() {
      Fleet fleet = new Fleet(RATE, BURST);
      fleet.run(5_000, RATE * 0.6);
      fleet.dead.add(fleet.owner());
      int before = fleet.requests;
      fleet.run(5_000, RATE * 0.6);
      assertThat(fleet.refused).isAtMost((fleet.requests - before) / 10);
    }
  }

  @Nested
  class Unlimited {
    @Test
    void organisationsWaitForNobody() {
      OwnedRates rates = new OwnedRates(Fleet.id(0), 10);
      Organisation unlimited =
          new Organisation(
              ID, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Optional.empty());
      assertThat(rates.arrive("r", unlimited, Now.ofMillis(10), Now.ofMillis(0)))
          .isEqualTo(new RateDecision.Admitted(new TokenOrigin.Unlimited()));
    }
  }
}
