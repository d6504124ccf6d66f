package org.bergamotcross.entry.catalog;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.core.membership.ReadSchedule;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.Kernel;
import org.bergamotcross.kernel.RingOfferResult;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.SettingsResult;

/** A fleet of instances that all reach each other, with a simulated clock. */
final class SimulatedFleet {
  static final int INSTANCES = 6;
  static final int STEP_MS = 10;

  static final class Node {
    final int index;
    final SimulatedCatalogSource source;
    final Kernel kernel;
    final List<CatalogInput> inbox = new ArrayList<>();
    final CatalogDuty duty;
    Configuration configuration = Configuration.EMPTY;
    final List<Broadcasts.InstanceDirectory> directory = new ArrayList<>();
    final List<InstanceId> departed = new ArrayList<>();
    boolean isFresh;
    long version;
    ClockReading nextTick;

    Node(int index, SimulatedStore store, SimulatedFleet fleet) {
      this.index = index;
      this.source = new SimulatedCatalogSource(store, index);
      SettingsResult settings = Settings.parse("t.ini", "", List.of(), List.of());
      this.kernel =
          new Kernel(List.of(), ((SettingsResult.Loaded) settings).settings(), () -> fleet.now());
      kernel.context().subscribe(Broadcasts.CONFIGURATION, next -> configuration = next);
      kernel.context().subscribe(Broadcasts.FRESHNESS, freshness -> isFresh = true);
      kernel.context().subscribe(Broadcasts.DIRECTORY, directory::add);
      kernel.context().subscribe(Broadcasts.INSTANCE_REMOVED, departed::add);
      this.nextTick = fleet.now();
      this.duty =
          new CatalogDuty(
              new Member(id(index), 1, new FailureDomain("a"), ""),
              source,
              fleet.exchange(index),
              kernel.context(),
              inbox::add,
              status -> version = status.version());
    }

    List<String> targets() {
      return configuration.pool(SimulatedStore.POOL).map(Pool::targets).orElse(List.of()).stream()
          .map(t -> t.id().value())
          .sorted()
          .toList();
    }
  }

  static InstanceId id(int index) {
    return new InstanceId("entry-" + index);
  }

  final List<Node> nodes = new ArrayList<>();
  final Set<Integer> unreachableInstances = new HashSet<>();
  final Set<Integer> stoppedInstances = new HashSet<>();
  int sentLists;
  private final SimulatedStore store;
  private int millis = 1_000;

  SimulatedFleet(SimulatedStore store) {
    this.store = store;
    for (int i = 0; i < INSTANCES; i++) {
      nodes.add(new Node(i, store, this));
    }
    nodes.forEach(this::connect);
  }

  private void connect(Node node) {
    Set<InstanceId> others = new HashSet<>();
    nodes.stream().filter(n -> n != node).forEach(n -> others.add(id(n.index)));
    node.inbox.add(new CatalogInput.PeersChanged(new PeerView(others)));
  }

  /** Replaces an instance by one that knows nothing. */
  void restart(int index) {
    nodes.get(index).kernel.close();
    nodes.set(index, new Node(index, store, this));
    connect(nodes.get(index));
  }

  ClockReading now() {
    return ClockReading.ofMillis(millis);
  }

  PeerExchange exchange(int from) {
    return new PeerExchange() {
      @Override
      public <T extends Record> void handle(String kind, Class<T> type, Handler<T> handler) {}

      @Override
      public RingOfferResult send(InstanceId to, String kind, Record message) {
        nodes.stream()
            .filter(node -> id(node.index).equals(to))
            .filter(node -> !unreachableInstances.contains(node.index))
            .forEach(node -> node.inbox.add(input(from, message)));
        return new RingOfferResult.Accepted();
      }

      @Override
      public void sendAll(String kind, Record message) {
        if (message instanceof CatalogMessages.Update update && update.complete()) {
          sentLists++;
        }
        nodes.stream()
            .filter(node -> node.index != from)
            .filter(node -> !unreachableInstances.contains(node.index))
            .forEach(node -> node.inbox.add(input(from, message)));
      }

      @Override
      public long incarnation() {
        return 1;
      }
    };
  }

  private static CatalogInput input(int from, Record message) {
    return switch (message) {
      case CatalogMessages.Update update -> new CatalogInput.UpdateReceived(id(from), update);
      case CatalogMessages.SettingsRead read ->
          new CatalogInput.SettingsReadReceived(id(from), id(from), read);
      case CatalogMessages.StoreUnavailable ignored -> new CatalogInput.StoreUnavailableReceived();
      case CatalogMessages.SyncRequest request ->
          new CatalogInput.SyncRequestReceived(id(from), request);
      case CatalogMessages.SyncResponse response ->
          new CatalogInput.SyncResponseReceived(id(from), response);
      default -> throw new IllegalArgumentException(message + " is not a catalog message");
    };
  }

  void advance(int forMs) {
    for (int end = millis + forMs; millis < end; millis += STEP_MS) {
      for (Node node : nodes) {
        if (stoppedInstances.contains(node.index)) {
          continue;
        }
        node.source.poll();
        List.copyOf(node.source.pendingResults).forEach(Runnable::run);
        node.source.pendingResults.clear();
        List<CatalogInput> inputs = List.copyOf(node.inbox);
        node.inbox.clear();
        inputs.forEach(input -> node.duty.onMessage(input, now()));
        if (!inputs.isEmpty() || !now().isBefore(node.nextTick)) {
          node.nextTick = now().plus(node.duty.onTick(now()));
        }
      }
    }
  }

  /** Returns the indexes of the instances that read the store before all others. */
  Set<Integer> firstReaders(int count) {
    Set<Integer> first = new HashSet<>();
    for (Node node : nodes) {
      if (rank(node) < count) {
        first.add(node.index);
      }
    }
    return first;
  }

  private int rank(Node node) {
    Set<InstanceId> others = new HashSet<>();
    nodes.stream().filter(n -> n != node).forEach(n -> others.add(id(n.index)));
    return new ReadSchedule(id(node.index)).rank(new PeerView(others));
  }

  void forEach(Consumer<Node> check) {
    nodes.forEach(check);
  }

  void close() {
    nodes.forEach(node -> node.kernel.close());
  }
}
