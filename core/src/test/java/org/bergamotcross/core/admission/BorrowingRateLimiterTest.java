package org.bergamotcross.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.ClockReading;

/** Guards against a fleet that admits more than an organisation's rate and burst, or less. */
class BorrowingRateLimiterTest {
  private static final int WARM_UP_MILLIS = 12_000;

  /** One process with its rate limiter, which counts the decisions on its requests. */
  private static final class LimiterProcess implements SimulatedFleet.ProcessBehavior {
    private final SimulatedFleet.Node node;
    private final OffsetQuorum quorum;
    private final BorrowingRateLimiter rates;
    private final Tally tally;

    LimiterProcess(SimulatedFleet.Node node, Tally tally) {
      this.node = node;
      this.tally = tally;
      this.quorum = new OffsetQuorum(node.instance);
      this.rates = new BorrowingRateLimiter(node.instance, node.incarnation(), quorum, 2000);
    }

    @Override
    public void configure(Configuration configuration, ClockReading now) {
      quorum.configure(configuration);
      rates.configure(configuration, now);
      onTick(now);
    }

    @Override
    public void setFreshUntil(ClockReading until) {
      rates.setFreshUntil(until);
    }

    @Override
    public void onMessage(InstanceId from, Record message, ClockReading now) {
      if (message instanceof SimulatedFleet.PeerOffset peer) {
        quorum.recordOffset(from, peer.offset());
      } else {
        rates.onMessage(from, message, now);
      }
      onTick(now);
    }

    @Override
    public void onTick(ClockReading now) {
      RateLimiterOutput output = rates.step(now);
      output.messages().forEach(message -> node.send(message.to(), message.message()));
      output.completedWaits().forEach(ended -> tally.count(ended.decision()));
    }

    void arrive(String request, Organisation organisation, ClockReading now) {
      tally.count(rates.tryAdmit(request, organisation, now.plus(Duration.ofSeconds(10)), now));
      onTick(now);
    }
  }

  /** Counts the decisions of all processes for one organisation. */
  private static final class Tally {
    private final SimulatedFleet fleet;
    final List<Long> admittedMillis = new ArrayList<>();
    final Map<String, Integer> refusals = new TreeMap<>();

    Tally(SimulatedFleet fleet) {
      this.fleet = fleet;
    }

    void count(RateDecision decision) {
      switch (decision) {
        case RateDecision.Admitted ignored -> admittedMillis.add(fleet.millis());
        case RateDecision.Refused refused ->
            refusals.merge(refused.refusal().code(), 1, Integer::sum);
        case RateDecision.Queued ignored -> {}
      }
    }

    /** Returns the greatest number of requests admitted beyond rate x time in any window. */
    double maxBurst(double rate) {
      double worst = 0;
      double least = Double.MAX_VALUE;
      for (int i = 0; i < admittedMillis.size(); i++) {
        double line = i - rate * admittedMillis.get(i) / 1000.0;
        least = Math.min(least, line);
        worst = Math.max(worst, line + 1 - least);
      }
      return worst;
    }
  }

  private static TeamSettings team(Organisation organisation) {
    return new TeamSettings("t", List.of(organisation), List.of(), List.of(), List.of());
  }

  private static Organisation organisation(double rate, double burst) {
    return new Organisation(new OrganisationId("t/large"), rate, burst);
  }

  private SimulatedFleet fleet(
      long seed,
      SimulatedFleet.NetworkConditions network,
      Organisation organisation,
      Tally[] tally) {
    SimulatedFleet fleet = new SimulatedFleet(seed, network, team(organisation));
    tally[0] = new Tally(fleet);
    for (String id : FaultSchedules.NODES) {
      fleet.start(id, id.substring(0, 1), node -> new LimiterProcess(node, tally[0]));
    }
    return fleet;
  }

  private void arriveAt(SimulatedFleet fleet, long millis, String id, String request) {
    fleet.at(
        millis,
        () -> {
          SimulatedFleet.Node node = fleet.node(id);
          if (node.isRunning()) {
            Organisation current = fleet.head().organisations().iterator().next();
            ((LimiterProcess) node.process().orElseThrow()).arrive(request, current, node.now());
          }
        });
  }

  // More than half of the requests arrive at one instance, which changes every two seconds.
  private String skewedNode(Random random, long millis) {
    int preferred = (int) (millis / 2000) % FaultSchedules.NODES.size();
    return FaultSchedules.NODES.get(
        random.nextBoolean() ? preferred : random.nextInt(FaultSchedules.NODES.size()));
  }

  @Group
  class Excess {
    @Provide
    Arbitrary<List<FaultSchedules.Fault>> faults() {
      return FaultSchedules.faults(1000, 24_000);
    }

    @Provide
    Arbitrary<SimulatedFleet.NetworkConditions> networkConditions() {
      return FaultSchedules.networkConditions();
    }

    @Provide
    Arbitrary<Organisation> organisations() {
      return Arbitraries.of(
          organisation(100, 30), organisation(40, 200), organisation(50, 2), organisation(20, 1));
    }

    @Property(seed = "7301", tries = 60)
    void neverExceedsRateAndBurstOverAllInstances(
        @ForAll long seed,
        @ForAll("networkConditions") SimulatedFleet.NetworkConditions network,
        @ForAll("faults") List<FaultSchedules.Fault> faults,
        @ForAll("organisations") Organisation organisation) {
      Tally[] tally = new Tally[1];
      SimulatedFleet fleet = fleet(seed, network, organisation, tally);
      faults.forEach(fault -> FaultSchedules.apply(fleet, fault));
      Random random = new Random(seed);
      double perSecond = organisation.rate() * 3;
      for (double at = 0;
          at < 30_000;
          at += -Math.log(1 - random.nextDouble()) * 1000 / perSecond) {
        arriveAt(fleet, (long) at, skewedNode(random, (long) at), "r" + at);
      }
      fleet.runUntil(30_000);
      assertThat(tally[0].maxBurst(organisation.rate()))
          .isAtMost(organisation.burst() + 0.001 + organisation.rate() / 1000);
    }
  }

  @Group
  class NoFailure {
    @Provide
    Arbitrary<Organisation> organisations() {
      return Arbitraries.of(
          organisation(100, 30), organisation(60, 200), organisation(50, 5), organisation(20, 2));
    }

    @Property(seed = "7302", tries = 24)
    void refusesNothingWithinTheRate(
        @ForAll long seed, @ForAll("organisations") Organisation organisation) {
      Tally[] tally = new Tally[1];
      SimulatedFleet fleet =
          fleet(seed, new SimulatedFleet.NetworkConditions(0, 0, 3), organisation, tally);
      int offered = offerWithinRate(fleet, organisation, new Random(seed));
      fleet.runUntil(40_000);
      assertWithMessage("refusals").that(tally[0].refusals).isEmpty();
      assertThat(tally[0].admittedMillis).hasSize(offered);
    }

    @Property(seed = "7303", tries = 12)
    void refusesNothingWhileInstancesLeaveAndJoin(
        @ForAll long seed, @ForAll("organisations") Organisation organisation) {
      Tally[] tally = new Tally[1];
      SimulatedFleet fleet =
          fleet(seed, new SimulatedFleet.NetworkConditions(0, 0, 3), organisation, tally);
      fleet.at(16_000, () -> fleet.start("a0", "a", node -> new LimiterProcess(node, tally[0])));
      fleet.at(24_000, () -> fleet.start("b0", "b", node -> new LimiterProcess(node, tally[0])));
      int offered = offerWithinRate(fleet, organisation, new Random(seed));
      fleet.runUntil(40_000);
      assertWithMessage("refusals").that(tally[0].refusals).isEmpty();
      assertThat(tally[0].admittedMillis).hasSize(offered);
    }

    private int offerWithinRate(SimulatedFleet fleet, Organisation organisation, Random random) {
      double level = 0;
      int offered = 0;
      for (long at = WARM_UP_MILLIS; at < 35_000; at++) {
        level = Math.min(organisation.burst(), level + organisation.rate() / 1000);
        boolean accumulating = at / 1500 % 3 == 0;
        while (level >= 1 && !accumulating) {
          level--;
          arriveAt(fleet, at, skewedNode(random, at), "r" + offered++);
        }
      }
      return offered;
    }
  }
}
