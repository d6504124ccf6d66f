package org.bergamotcross.entry.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.entry.ActorSystemPlugin;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.kernel.Kernel;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginStartException;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.SettingsResult;
import org.bergamotcross.kernel.TimeSource;
import org.bergamotcross.standin.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Runs exchange plug-ins of a small fleet with relays over real sockets.
 *
 * <p>Guards against messages that are lost or come twice between instances without a link, and
 * against instances of an older version that are left out.
 */
class RelayedExchangeTest {
  private static final int SIZE = 9;
  private static final long TIMEOUT_MS = 30_000;

  record Note(String text) {}

  private static final class Node {
    final InstanceId id;
    final Kernel kernel;
    final Queue<String> notes = new ConcurrentLinkedQueue<>();

    Node(int index, int port, int seedPort, String peerSettings) throws PluginStartException {
      id = new InstanceId("n" + index);
      String text =
          """
          [instance]
          id = n%d
          failure-domain = d%d
          [listen]
          peers = 127.0.0.1:%d
          [peers]
          seeds = 127.0.0.1:%d
          beat-ms = 200
          %s
          """
              .formatted(index, index % 2, port, seedPort, peerSettings);
      List<Plugin> plugins = List.of(new ActorSystemPlugin(), new ExchangePlugin());
      SettingsResult result =
          Settings.parse("n.ini", text, Kernel.settingsOf(plugins), Kernel.rulesOf(plugins));
      kernel =
          new Kernel(plugins, ((SettingsResult.Loaded) result).settings(), TimeSource.system());
      kernel.start();
      exchange().handle("note", Note.class, (from, note) -> notes.add(from.id() + note.text()));
    }

    PeerExchange exchange() {
      return kernel.context().service(PeerExchange.class).orElseThrow();
    }
  }

  private final List<Node> nodes = new ArrayList<>();

  private void start(String peerSettings, String settingsOfLast) throws PluginStartException {
    int seedPort = FreePorts.next();
    for (int i = 0; i < SIZE; i++) {
      int port = i == 0 ? seedPort : FreePorts.next();
      nodes.add(new Node(i, port, seedPort, i == SIZE - 1 ? settingsOfLast : peerSettings));
    }
  }

  @AfterEach
  void stop() {
    nodes.forEach(node -> node.kernel.close());
  }

  private static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    while (!condition.getAsBoolean() && System.nanoTime() < end) {
      Thread.sleep(50);
    }
    assertWithMessage(what).that(condition.getAsBoolean()).isTrue();
  }

  private void awaitConnected() throws InterruptedException {
    await(
        "all instances receive messages from all others",
        () -> {
          nodes.forEach(node -> node.exchange().sendAll("note", new Note("probe")));
          return nodes.stream()
              .allMatch(node -> node.notes.stream().distinct().count() == SIZE - 1);
        });
    // The last probes are still on their way.
    Thread.sleep(1_000);
    nodes.forEach(node -> node.notes.clear());
  }

  private void assertEachReceivesAllOthersOnce() throws InterruptedException {
    nodes.forEach(node -> node.exchange().sendAll("note", new Note("!")));
    await(
        "every message arrives",
        () -> nodes.stream().allMatch(node -> node.notes.size() >= SIZE - 1));
    Thread.sleep(300);
    for (Node node : nodes) {
      assertThat(node.notes).containsNoDuplicates();
      assertThat(node.notes).hasSize(SIZE - 1);
    }
  }

  @Nested
  class FleetWithRelays {
    @Test
    void deliversMessagesToAllOnce() throws Exception {
      start("full-mesh-limit = 4", "full-mesh-limit = 4");
      awaitConnected();
      assertEachReceivesAllOthersOnce();
    }

    @Test
    void deliversMessagesBetweenAnyTwo() throws Exception {
      start("full-mesh-limit = 4", "full-mesh-limit = 4");
      awaitConnected();
      for (Node from : nodes) {
        for (Node to : nodes) {
          from.exchange().send(to.id, "note", new Note("."));
        }
      }
      await(
          "every message arrives",
          () -> nodes.stream().allMatch(node -> node.notes.size() >= SIZE));
      nodes.forEach(node -> assertThat(node.notes).containsNoDuplicates());
    }

    // An instance that isn't told to use relays sends what an older version does.
    @Test
    void includesInstancesThatKeepLinksToAll() throws Exception {
      start("full-mesh-limit = 4", "");
      awaitConnected();
      assertEachReceivesAllOthersOnce();
    }

    @Test
    void reachesAllAgainAfterARelayHasStopped() throws Exception {
      start("full-mesh-limit = 4", "full-mesh-limit = 4");
      awaitConnected();
      // More than half of the instances relay here, so at least one of these does.
      Node stopped = nodes.remove(1);
      stopped.kernel.close();
      Node secondStopped = nodes.remove(2);
      secondStopped.kernel.close();
      await(
          "all instances receive messages from all others",
          () -> {
            nodes.forEach(node -> node.exchange().sendAll("note", new Note("after")));
            return nodes.stream()
                .allMatch(node -> node.notes.stream().distinct().count() >= nodes.size() - 1);
          });
    }
  }
}
