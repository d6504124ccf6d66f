package org.bergamotcross.core.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against shares that add up to more than the whole, or that nobody can use, in a fleet
 * whose instances know most of the others only through relays.
 */
class RelayedSharesTest {
  private static final int DOMAINS = 3;
  private static final int CHECK_MS = 250;

  private static void advance(SimulatedRelayFleet fleet, int forMs, String what) {
    for (int elapsed = 0; elapsed < forMs; elapsed += SimulatedRelayFleet.STEP_MS) {
      fleet.step();
      if (elapsed % CHECK_MS == 0) {
        assertWithMessage(what).that(fleet.findUncounted()).isEqualTo(Optional.empty());
        assertWithMessage(what).that(fleet.heldFraction()).isAtMost(1 + 1e-9);
      }
    }
  }

  private static SimulatedRelayFleet runningFleet(int size, long seed) {
    SimulatedRelayFleet fleet = new SimulatedRelayFleet(size, DOMAINS, seed);
    advance(fleet, 20_000, "start with seed " + seed);
    assertThat(fleet.areAllSharesUsable()).isTrue();
    assertThat(fleet.heldFraction()).isWithin(1e-9).of(1);
    return fleet;
  }

  @Nested
  class CalmFleets {
    // Guards against a start in which the digests of many instances never agree.
    @Test
    void useAllSharesSomeSecondsAfterTheyStart() {
      for (int size : new int[] {30, 70, 140}) {
        SimulatedRelayFleet fleet = new SimulatedRelayFleet(size, DOMAINS, size);
        advance(fleet, 10_000, "start of " + size);
        assertWithMessage("%s instances", size).that(fleet.areAllSharesUsable()).isTrue();
        advance(fleet, 4_000, "start of " + size);
        assertWithMessage("%s instances", size).that(fleet.heldFraction()).isWithin(1e-9).of(1);
      }
    }

    // Guards against links to all instances, which relays are there to avoid.
    @Test
    void haveLinksOnlyToRelays() {
      SimulatedRelayFleet fleet = runningFleet(140, 1);
      assertThat(fleet.maxLinksOfOthers()).isEqualTo(fleet.relays().size());
    }
  }

  @Nested
  class Relays {
    // Guards against a part of each rate that stays unused after a relay was lost.
    @Test
    void areReplaced() {
      SimulatedRelayFleet fleet = runningFleet(60, 2);
      List<Integer> relays = fleet.relays();
      fleet.kill(relays.get(0));
      fleet.kill(relays.get(4));
      advance(fleet, 12_000, "two relays lost");
      assertThat(fleet.heldFraction()).isWithin(1e-9).of(58 / 60.0);
      fleet.start(relays.get(0));
      fleet.start(relays.get(4));
      advance(fleet, 25_000, "two relays back");
      assertThat(fleet.areAllSharesUsable()).isTrue();
      assertThat(fleet.heldFraction()).isWithin(1e-9).of(1);
    }

    // Guards against a registration that goes on without the acknowledgement of a lost relay, or
    // that never ends because another relay had reported only a part of the acknowledgements.
    @Test
    void mayBeLostWhileInstancesAreRegistered() {
      SimulatedRelayFleet fleet = runningFleet(60, 3);
      for (int i = 0; i < 10; i++) {
        fleet.addMachine();
      }
      advance(fleet, 100, "registration");
      List<Integer> lost = fleet.relays().subList(0, 3);
      lost.forEach(fleet::kill);
      advance(fleet, 10_000, "registration while relays are lost");
      lost.forEach(fleet::start);
      advance(fleet, 20_000, "registration after relays are back");
      assertThat(fleet.areAllSharesUsable()).isTrue();
      assertThat(fleet.heldFraction()).isWithin(1e-9).of(1);
    }
  }

  @Nested
  class RestartedInstances {
    // Guards against a fraction that is used twice: by a holder that does not hear the new
    // incarnation, and by the holder to which that one delegates it.
    @Test
    void waitForLeasesThatRelaysCannotSee() {
      SimulatedRelayFleet fleet = runningFleet(30, 4);
      List<Integer> relays = fleet.relays();
      int restarted =
          IntStream.range(0, fleet.size())
              .filter(i -> !relays.contains(i))
              .findFirst()
              .orElseThrow();
      for (int relay : relays) {
        // Soon after the heartbeats of a round, so that the leases last longer than the restart.
        advance(fleet, 250, "leases are renewed");
        fleet.kill(restarted);
        fleet.cutLink(restarted, relay);
        fleet.start(restarted);
        advance(fleet, 9_750, "restart without a link to " + relay);
      }
      assertThat(fleet.areAllSharesUsable()).isTrue();
    }
  }

  @Nested
  class RandomFaults {
    private static final int RUNS = 6;
    private static final int EVENTS = 30;

    @Test
    void neverLetSharesExceedTheWhole() {
      for (int seed = 0; seed < RUNS; seed++) {
        play(30 + 110 * seed / (RUNS - 1), seed);
      }
    }

    private void play(int size, int seed) {
      String what = size + " instances, seed " + seed;
      Random random = new Random(seed);
      SimulatedRelayFleet fleet = new SimulatedRelayFleet(size, DOMAINS, seed);
      advance(fleet, random.nextInt(10_000), what);
      for (int event = 0; event < EVENTS; event++) {
        inject(fleet, random);
        advance(fleet, random.nextInt(2_000), what + ", event " + event);
      }
      fleet.partition(Set.of());
      fleet.setMessageFaults(0, 10);
      for (int i = 0; i < fleet.size(); i++) {
        if (!fleet.isUp(i)) {
          fleet.start(i);
        }
      }
      advance(fleet, 40_000, what + ", calm");
      assertWithMessage(what).that(fleet.areAllSharesUsable()).isTrue();
      assertWithMessage(what).that(fleet.heldFraction()).isWithin(1e-9).of(1);
    }

    private void inject(SimulatedRelayFleet fleet, Random random) {
      int machine = random.nextInt(fleet.size());
      switch (random.nextInt(8)) {
        case 0, 1 -> {
          if (fleet.isUp(machine)) {
            fleet.kill(machine);
          } else {
            fleet.start(machine);
          }
        }
        case 2 -> fleet.addMachine();
        case 3 -> fleet.relays().stream().limit(1 + random.nextInt(3)).forEach(fleet::kill);
        case 4 -> startAll(fleet);
        case 5 -> fleet.setMessageFaults(0.1 * random.nextInt(3), 1 + random.nextInt(3_000));
        case 6 -> fleet.partition(fleet.machinesOf(random.nextInt(DOMAINS)));
        default -> {
          fleet.partition(Set.of());
          fleet.setMessageFaults(0, 10);
        }
      }
    }

    private void startAll(SimulatedRelayFleet fleet) {
      for (int i = 0; i < fleet.size(); i++) {
        if (!fleet.isUp(i)) {
          fleet.start(i);
        }
      }
    }
  }
}
