package org.bergamotcross.entry.catalog;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Draws histories of a store that is restored to older copies, and compares what each instance uses
 * with what was acknowledged and written again.
 */
class StoreRestoreModelTest {
  /** Entries come back within 2 s of a restore. */
  private static final int REWRITE_MS = 1_500;

  /** The operator, the targets, the store and a fleet that follows it. */
  private static final class History {
    final SimulatedStore store = new SimulatedStore();
    final SimulatedFleet fleet = new SimulatedFleet(store);

    /** The sequence number of each target that runs. */
    final Map<String, Integer> running = new TreeMap<>();

    final Set<String> draining = new HashSet<>();
    final Set<String> stopped = new HashSet<>();
    final Map<SimulatedFleet.Node, Long> versions = new HashMap<>();

    /** The targets that each instance has used, and those that it used and then gave up. */
    final Map<SimulatedFleet.Node, Set<String>> used = new HashMap<>();

    final Map<SimulatedFleet.Node, Set<String>> givenUp = new HashMap<>();
    int targets;
    int version;
    int millisUntilRewrite;

    History() {
      store.era = 1;
      publishVersion();
      startTarget();
      startTarget();
      startTarget();
      advance(2_000);
    }

    void publishVersion() {
      version++;
      store.versions.add("v" + version);
    }

    void startTarget() {
      running.put("t" + targets++, 0);
      beat("t" + (targets - 1));
    }

    void beat(String id) {
      store.publish(id, draining.contains(id), running.merge(id, 1, Integer::sum));
    }

    void drain(String id) {
      draining.add(id);
      beat(id);
    }

    void stop(String id) {
      running.remove(id);
      stopped.add(id);
      store.remove(id);
    }

    /** Restores a copy that lacks the last records; the writers notice it after some time. */
    void restore(Random random) {
      int lost = random.nextInt(Math.min(12, store.records.size()));
      int lostVersions = random.nextInt(Math.min(3, store.versions.size()));
      store.restore(store.records.size() - lost, store.versions.size() - lostVersions);
      millisUntilRewrite = 100 + random.nextInt(REWRITE_MS);
    }

    void rewrite() {
      millisUntilRewrite = 0;
      if (store.versions.isEmpty() || !store.versions.getLast().equals("v" + version)) {
        store.versions.add("v" + version);
      }
      running.keySet().forEach(this::beat);
      Set<String> listed = new TreeSet<>();
      store.records.forEach(r -> listed.add(r.id().value()));
      listed.stream().filter(stopped::contains).forEach(store::remove);
    }

    void advance(int millis) {
      for (int passed = 0; passed < millis; passed += 50) {
        fleet.advance(50);
        if (millisUntilRewrite > 0) {
          millisUntilRewrite -= 50;
          if (millisUntilRewrite <= 0) {
            rewrite();
          }
        }
        fleet.forEach(this::checkVersion);
      }
    }

    void checkVersion(SimulatedFleet.Node node) {
      long before = versions.getOrDefault(node, 0L);
      assertThat(node.version).isAtLeast(before);
      versions.put(node, node.version);
    }

    /** Checks that no instance gives up a live target or takes a stopped or draining one back. */
    void checkTargets() {
      fleet.forEach(
          node -> {
            List<String> now = node.targets();
            Set<String> everUsed = used.computeIfAbsent(node, n -> new HashSet<>());
            Set<String> lost = new TreeSet<>(everUsed);
            now.forEach(lost::remove);
            Set<String> gone = givenUp.computeIfAbsent(node, n -> new HashSet<>());
            gone.addAll(lost);
            everUsed.addAll(now);
            assertWithMessage("live targets that %s gave up", node.index)
                .that(gone.stream().filter(this::isReady).toList())
                .isEmpty();
            assertWithMessage("targets that %s took back", node.index)
                .that(now.stream().filter(gone::contains).toList())
                .isEmpty();
          });
    }

    private boolean isReady(String id) {
      return running.containsKey(id) && !draining.contains(id);
    }

    private String any(Random random) {
      return List.copyOf(running.keySet()).get(random.nextInt(running.size()));
    }

    void write(Random random) {
      switch (random.nextInt(8)) {
        case 0 -> publishVersion();
        case 1 -> startTarget();
        case 2 -> {
          if (running.size() > 1) {
            drain(any(random));
          }
        }
        case 3 -> {
          if (running.size() > 1) {
            stop(any(random));
          }
        }
        case 4 -> restore(random);
        default -> running.keySet().stream().toList().forEach(this::beat);
      }
    }

    void disturb(Random random) {
      int node = random.nextInt(SimulatedFleet.INSTANCES);
      switch (random.nextInt(5)) {
        case 0 -> toggle(store.rejectedInstances, node);
        case 1 -> toggle(store.unansweredInstances, node);
        case 2 -> toggle(fleet.unreachableInstances, node);
        case 3 -> toggle(fleet.stoppedInstances, node);
        default -> fleet.restart(node);
      }
    }

    private static void toggle(Set<Integer> nodes, int node) {
      if (!nodes.remove(node)) {
        nodes.add(node);
      }
    }

    void checkAgreement() {
      store.rejectedInstances.clear();
      store.unansweredInstances.clear();
      fleet.unreachableInstances.clear();
      fleet.stoppedInstances.clear();
      rewrite();
      advance(3_000);
      running.keySet().stream().toList().forEach(this::beat);
      advance(5_000);
      List<String> ready =
          running.keySet().stream().filter(this::isReady).sorted().collect(Collectors.toList());
      fleet.forEach(
          node -> {
            assertWithMessage("version at %s", node.index).that(node.version).isEqualTo(version);
            assertWithMessage("targets at %s", node.index)
                .that(node.targets())
                .containsExactlyElementsIn(ready);
          });
    }
  }

  private History startHistory() {
    return new History();
  }

  @Group
  class Fleet {
    // Guards against instances that stay apart after restores, rejected reads, lost messages,
    // pauses and restarts.
    @Property(seed = "5201", tries = 150)
    void agreesWithWhatWasWrittenAgain(
        @ForAll @Size(min = 1, max = 40) List<@IntRange(max = 99_999) Integer> choices) {
      History history = startHistory();
      try {
        for (int choice : choices) {
          Random random = new Random(choice);
          if (random.nextInt(3) == 0) {
            history.disturb(random);
          } else {
            history.write(random);
          }
          history.advance(50 * random.nextInt(20));
        }
        history.checkAgreement();
      } finally {
        history.fleet.close();
      }
    }

    // Guards against a live target that is given up, and a removed or draining one that is used
    // again, while instances and store reach each other.
    @Property(seed = "5202", tries = 150)
    void keepsLiveTargetsAndTakesNoneBack(
        @ForAll @Size(min = 1, max = 40) List<@IntRange(max = 99_999) Integer> choices) {
      History history = startHistory();
      try {
        for (int choice : choices) {
          Random random = new Random(choice);
          history.write(random);
          for (int i = random.nextInt(30); i > 0; i--) {
            history.advance(50);
            history.checkTargets();
          }
        }
        history.checkAgreement();
      } finally {
        history.fleet.close();
      }
    }
  }
}
