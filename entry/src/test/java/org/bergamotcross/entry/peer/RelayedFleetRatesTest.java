package org.bergamotcross.entry.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates faults in fleets with relays that limit the rate of one organisation, with the bounds
 * of {@link FleetRatesTest}.
 *
 * <p>Guards against instances that use shares of which others don't know, because they have no link
 * to each other, and against a fleet whose instances never agree on their number.
 */
class RelayedFleetRatesTest {
  private static final int FULL_MESH_LIMIT = 24;
  private static final int DOMAINS = 4;
  private static final double RATE = 200;
  private static final double BURST = 200;
  private static final double OVERLOAD_RATE = RATE * 5;
  private static final double NORMAL_RATE = RATE / 1.6;
  private static final int WINDOW_MS = 5_000;
  private static final int SETTLE_MS = 10_000;
  private static final long SEED = 1509;

  private static SimulatedRateFleet fleet(int size, long seed) {
    SimulatedRateFleet fleet =
        new SimulatedRateFleet(size, DOMAINS, FULL_MESH_LIMIT, RATE, BURST, seed);
    fleet.advance(SETTLE_MS, 0);
    return fleet;
  }

  private static List<Integer> instances(int from, int to) {
    return IntStream.range(from, to).boxed().toList();
  }

  private static void assertWithinLimit(SimulatedRateFleet fleet) {
    assertThat((double) fleet.maxAdmittedInWindow(WINDOW_MS))
        .isAtMost((RATE * WINDOW_MS / 1_000 + BURST) * 1.1 + 20);
  }

  private static double refusedIn(SimulatedRateFleet fleet, int forMs) {
    int refused = fleet.refused();
    int requests = fleet.requests();
    fleet.advance(forMs, NORMAL_RATE);
    return (double) (fleet.refused() - refused) / (fleet.requests() - requests);
  }

  @Nested
  class Starts {
    @ParameterizedTest
    @ValueSource(ints = {49, 138})
    void allInstancesTogetherDoNotGrantTheRateEach(int size) {
      SimulatedRateFleet fleet = fleet(size, SEED);
      fleet.advance(WINDOW_MS, OVERLOAD_RATE);
      fleet.kill(instances(0, size));
      fleet.advance(1_300, 0);
      for (int i = 0; i < size; i++) {
        fleet.start(i);
        fleet.advance(20, OVERLOAD_RATE);
      }
      fleet.advance(8_000, OVERLOAD_RATE);
      assertWithinLimit(fleet);
    }

    @ParameterizedTest
    @ValueSource(ints = {49, 138})
    void soonServeTheWholeRate(int size) {
      SimulatedRateFleet fleet = fleet(size, SEED);
      fleet.kill(instances(0, size));
      fleet.advance(2_000, 0);
      instances(0, size).forEach(fleet::start);
      fleet.advance(3_000, NORMAL_RATE);
      assertThat(refusedIn(fleet, 5_000)).isEqualTo(0.0);
    }

    // The seeds are down, so that instances find each other by the directory only.
    @Test
    void withoutSeedsSoonServeTheWholeRate() {
      SimulatedRateFleet fleet = fleet(49, SEED);
      fleet.kill(instances(0, 49));
      fleet.advance(2_000, 0);
      instances(3, 49).forEach(fleet::start);
      fleet.advance(8_000, 0);
      assertThat(refusedIn(fleet, 5_000)).isEqualTo(0.0);
    }
  }

  @Nested
  class Operation {
    // Guards against a return to a load that grows with the square of the instances.
    @Test
    void loadsALeafOfALargeFleetHardlyMoreThanOneOfASmallFleet() {
      SimulatedRateFleet.Traffic small = fleet(30, SEED).maxLeafTraffic(5_000);
      for (int size : new int[] {138, 300}) {
        SimulatedRateFleet.Traffic large = fleet(size, SEED).maxLeafTraffic(5_000);
        assertWithMessage("%s instances", size)
            .that((double) large.frames())
            .isAtMost(1.2 * small.frames());
        assertWithMessage("%s instances", size)
            .that((double) large.bytes())
            .isAtMost(1.2 * small.bytes());
      }
    }

    @Test
    void selectsTwoRelaysInEachFailureDomain() {
      SimulatedRateFleet fleet = fleet(138, SEED);
      assertThat(fleet.relayCount()).isEqualTo(2 * DOMAINS);
      assertThat(fleet.isSettled()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {49, 138})
    void withoutFaultsRefusesNothing(int size) {
      SimulatedRateFleet fleet = fleet(size, SEED);
      fleet.advance(10_000, RATE * 0.7);
      assertThat(fleet.refused()).isEqualTo(0);
    }

    @ParameterizedTest
    @ValueSource(ints = {49, 138})
    void underOverloadUsesTheWholeRate(int size) {
      SimulatedRateFleet fleet = fleet(size, SEED);
      fleet.advance(10_000, OVERLOAD_RATE);
      assertThat((double) fleet.admitted()).isAtLeast(RATE * 10);
    }
  }

  @Nested
  class Faults {
    @ParameterizedTest
    @ValueSource(ints = {49, 138})
    void ofAHolderRefuseFew(int size) {
      SimulatedRateFleet fleet = fleet(size, SEED);
      fleet.advance(2_000, NORMAL_RATE);
      fleet.freeze(fleet.busiestHolder(), 60_000);
      assertThat(refusedIn(fleet, 5_000)).isAtMost(0.1);
    }

    @ParameterizedTest
    @ValueSource(ints = {49, 138})
    void thatCutTheFleetIntoHalvesKeepTheLimit(int size) {
      SimulatedRateFleet fleet = fleet(size, SEED);
      fleet.advance(WINDOW_MS, OVERLOAD_RATE);
      fleet.setPartition(instances(0, size / 2), instances(size / 2, size), true);
      fleet.advance(15_000, OVERLOAD_RATE);
      fleet.setPartition(instances(0, size / 2), instances(size / 2, size), false);
      fleet.advance(8_000, OVERLOAD_RATE);
      assertWithinLimit(fleet);
    }

    @ParameterizedTest
    @ValueSource(ints = {49, 138})
    void thatHealLeaveTheWholeRate(int size) {
      SimulatedRateFleet fleet = fleet(size, SEED);
      List<Integer> domain =
          IntStream.range(0, size).filter(i -> i % DOMAINS == 0).boxed().toList();
      List<Integer> others =
          IntStream.range(0, size).filter(i -> i % DOMAINS != 0).boxed().toList();
      fleet.setPartition(domain, others, true);
      fleet.advance(9_000, NORMAL_RATE);
      fleet.setPartition(domain, others, false);
      fleet.advance(9_000, NORMAL_RATE);
      assertThat(refusedIn(fleet, 5_000)).isEqualTo(0.0);
    }

    @ParameterizedTest
    @ValueSource(ints = {49, 138})
    void atOnceKeepTheLimit(int size) {
      for (int seed = 0; seed < (size > 100 ? 1 : 3); seed++) {
        SimulatedRateFleet fleet = fleet(size, seed);
        Random random = new Random(seed);
        for (int step = 0; step < 10; step++) {
          FleetRatesTest.SeveralFaults.fault(fleet, random, OVERLOAD_RATE);
          fleet.advance(200 + random.nextInt(2_500), OVERLOAD_RATE);
        }
        assertWithMessage("seed %s", seed)
            .that((double) fleet.maxAdmittedInWindow(WINDOW_MS))
            .isAtMost((RATE * WINDOW_MS / 1_000 + BURST) * 1.1 + 20);
      }
    }
  }
}
