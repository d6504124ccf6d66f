package org.bergamotcross.entry.duties;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.entry.duties.SimulatedFleet.Instance;

/**
 * Guards against instances that act on a superseded state after a sequence of faults that no other
 * test produces.
 */
class ConfigDutyRandomFaultTest {
  private static final List<String> IDS = List.of("a", "b", "c", "d", "e");
  private static final Duration FAULT_TIME = Duration.ofSeconds(40);
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(8);

  /** Injects random faults into a fleet and checks it after each step. */
  private static final class Run implements AutoCloseable {
    final SimulatedFleet fleet = new SimulatedFleet("a", "b", "c", "d", "e");
    final Random random;
    final Map<Instance, Long> highestOffsets = new HashMap<>();
    final List<Long> knownToMajorityAt = new ArrayList<>();
    long millis;

    Run(int seed) {
      random = new Random(seed);
    }

    String id() {
      return IDS.get(random.nextInt(IDS.size()));
    }

    void injectFault() {
      switch (random.nextInt(12)) {
        case 0 -> fleet.log.outage = random.nextBoolean();
        case 1 -> fleet.log.unreachableFor.add(id());
        case 2 -> fleet.log.unreachableFor.remove(id());
        case 3 -> fleet.get(id()).paused = true;
        case 4, 5 -> fleet.get(id()).paused = false;
        case 6, 7 -> fleet.setLink(id(), id(), false);
        case 8 -> fleet.setLink(id(), id(), true);
        case 9 -> {
          if (random.nextInt(4) == 0) {
            fleet.start(id());
          }
        }
        case 10 -> fleet.get(id()).wallShift = random.nextLong(-500_000, 500_000);
        default -> {}
      }
      if (!fleet.log.outage) {
        fleet.log.append(
            new ControlRecord.Withdraw("w", new KeyHash(String.format("%064x", fleet.log.next()))));
      }
    }

    void check() {
      millis += 10;
      fleet.instances.values().forEach(this::checkOrder);
      long next = fleet.log.next();
      while (knownToMajorityAt.size() < next) {
        knownToMajorityAt.add(Long.MAX_VALUE);
      }
      for (int offset = (int) next - 1; offset >= 0 && isUnknownToMajority(offset); offset--) {
        int at = offset;
        if (fleet.instances.values().stream().filter(i -> i.offset() >= at).count() >= 3) {
          knownToMajorityAt.set(offset, millis);
        }
      }
      fleet.instances.values().stream().filter(Instance::isFresh).forEach(this::checkFresh);
    }

    private boolean isUnknownToMajority(int offset) {
      return knownToMajorityAt.get(offset) == Long.MAX_VALUE;
    }

    private void checkOrder(Instance instance) {
      long before = highestOffsets.getOrDefault(instance, -1L);
      assertThat(instance.offset()).isAtLeast(before);
      highestOffsets.put(instance, instance.offset());
    }

    // Allows 3 s of validity, and the time in which the confirmation is handled.
    private void checkFresh(Instance instance) {
      int missing = (int) instance.offset() + 1;
      if (!instance.paused && missing < knownToMajorityAt.size()) {
        assertWithMessage("%s acts without record %s", instance.member.id(), missing)
            .that(knownToMajorityAt.get(missing))
            .isGreaterThan(millis - 3_000 - 20);
      }
    }

    void heal() {
      fleet.log.outage = false;
      fleet.log.unreachableFor.clear();
      fleet.instances.values().forEach(i -> i.paused = false);
      IDS.forEach(from -> IDS.forEach(to -> fleet.setLink(from, to, true)));
    }

    @Override
    public void close() {
      fleet.close();
    }
  }

  private void runSeed(int seed) {
    try (Run run = new Run(seed)) {
      run.fleet.run(Duration.ofSeconds(5), run::check);
      for (Duration left = FAULT_TIME; left.isPositive(); left = left.minusMillis(250)) {
        run.injectFault();
        run.fleet.run(Duration.ofMillis(250), run::check);
      }
      run.heal();
      run.fleet.run(RECOVERY_TIME, run::check);
      long last = run.fleet.log.next() - 1;
      for (Instance instance : run.fleet.instances.values()) {
        assertWithMessage("%s", instance.member.id()).that(instance.offset()).isEqualTo(last);
        assertWithMessage("%s", instance.member.id()).that(instance.isFresh()).isTrue();
      }
    }
  }

  @Group
  class RandomFaults {
    @Property(seed = "815", tries = 12, shrinking = ShrinkingMode.OFF)
    void neverLetAnInstanceActOnASupersededState(@ForAll @IntRange(max = 1_000_000) int seed) {
      runSeed(seed);
    }
  }
}
