package org.bergamotcross.entry.catalog;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetChange;
import org.bergamotcross.core.config.TargetEntry;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.Delegation;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.core.membership.ReadSchedule;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.CatalogSource;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.Kernel;
import org.bergamotcross.kernel.RingOfferResult;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.SettingsResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Simulates a fleet of catalog duties over one store that may fail for some of them. */
class CatalogDutyTest {
  private static final PoolId POOL = new PoolId("orders");
  private static final int INSTANCES = 6;
  private static final int STEP_MS = 10;

  private final SimulatedStore store = new SimulatedStore();
  private final SimulatedFleet fleet = new SimulatedFleet(store);

  @AfterEach
  void close() {
    fleet.nodes.forEach(node -> node.kernel.close());
  }

  private static TargetChange target(long offset, String id, boolean draining, long sequence) {
    return new TargetChange.Published(
        offset,
        new TargetEntry(
            new Target(new TargetId(id), "10.0.0.1", id.hashCode() & 0xfff, new FailureDomain("a")),
            POOL,
            4,
            draining,
            OptionalLong.of(1),
            sequence));
  }

  /** A store with a log of target records, a log of settings versions and a directory. */
  private static final class SimulatedStore {
    final List<TargetChange> records = new ArrayList<>();
    final List<String> versions = new ArrayList<>();
    final Set<Integer> rejectedInstances = new HashSet<>();
    final Set<Integer> unansweredInstances = new HashSet<>();
    final Map<InstanceId, Member> directory = new TreeMap<>();
    boolean down;
    int targetReads;
    int settingsReads;
    int firstRetained;

    void publish(String id, boolean draining, long sequence) {
      records.add(target(records.size(), id, draining, sequence));
    }

    void remove(String id) {
      records.add(new TargetChange.Removed(records.size(), new TargetId(id), Duration.ZERO));
    }

    /** Deletes all records but the newest of each target that was not removed. */
    void deleteHistory() {
      firstRetained = records.size();
    }

    CatalogSource.TargetsReadResult read(int from) {
      if (from > 0 && from >= firstRetained) {
        return new CatalogSource.TargetsReadResult.Changes(
            records.subList(from, records.size()), records.size());
      }
      Map<TargetId, TargetChange> newest = new HashMap<>();
      records.forEach(item -> newest.put(item.id(), item));
      newest.values().removeIf(item -> item instanceof TargetChange.Removed);
      return new CatalogSource.TargetsReadResult.CompleteList(
          List.copyOf(newest.values()), records.size());
    }
  }

  /** One instance's access to the store; results stay pending until the fleet delivers them. */
  private static final class FailingCatalogSource implements CatalogSource {
    private final SimulatedStore store;
    private static final int RESPONSE_TIMEOUT_MS = 1_500;

    private final int index;
    final List<Runnable> pendingResults = new ArrayList<>();
    private final List<Runnable> longPolls = new ArrayList<>();

    FailingCatalogSource(SimulatedStore store, int index) {
      this.store = store;
      this.index = index;
    }

    private boolean fails() {
      return store.down || store.rejectedInstances.contains(index);
    }

    @Override
    public CompletionStage<SettingsReadResult> readSettings(long from, Duration wait) {
      store.settingsReads++;
      CompletableFuture<SettingsReadResult> read = new CompletableFuture<>();
      longPolls.add(() -> completeSettings(read, from, (int) wait.toMillis()));
      return read;
    }

    private void completeSettings(
        CompletableFuture<SettingsReadResult> read, long from, int waitMs) {
      if (isUnanswered()) {
        longPolls.add(
            () -> failAfter(read, new SettingsReadResult.Unavailable("no response"), waitMs));
      } else if (fails()) {
        pendingResults.add(() -> read.complete(new SettingsReadResult.Unavailable("rejected")));
      } else if (waitMs <= 0) {
        pendingResults.add(
            () -> read.complete(new SettingsReadResult.Read(Optional.empty(), from)));
      } else if (store.versions.size() > from) {
        int newest = store.versions.size() - 1;
        byte[] content = store.versions.get(newest).getBytes(StandardCharsets.UTF_8);
        pendingResults.add(
            () ->
                read.complete(
                    new SettingsReadResult.Read(
                        Optional.of(new SettingsDocument(newest, content)), newest + 1)));
      } else {
        longPolls.add(() -> completeSettings(read, from, waitMs - STEP_MS));
      }
    }

    /** Completes a read that gets no response when it times out. */
    private <T> void failAfter(CompletableFuture<T> read, T failure, int waitMs) {
      if (waitMs + RESPONSE_TIMEOUT_MS <= 0) {
        pendingResults.add(() -> read.complete(failure));
      } else {
        longPolls.add(() -> failAfter(read, failure, waitMs - STEP_MS));
      }
    }

    private boolean isUnanswered() {
      return store.unansweredInstances.contains(index);
    }

    void poll() {
      List<Runnable> due = List.copyOf(longPolls);
      longPolls.clear();
      due.forEach(Runnable::run);
    }

    @Override
    public DecodeResult decodeSettings(SettingsDocument document) {
      String text = new String(document.content(), StandardCharsets.UTF_8);
      return text.startsWith("v")
          ? new DecodeResult.Valid(
              new CatalogSource.CatalogSettings(
                  Long.parseLong(text.substring(1)),
                  List.of(),
                  List.of(),
                  List.of(POOL),
                  List.of()))
          : new DecodeResult.Invalid("found " + text);
    }

    @Override
    public CompletionStage<TargetsReadResult> readTargets(long from) {
      store.targetReads++;
      CompletableFuture<TargetsReadResult> read = new CompletableFuture<>();
      if (isUnanswered()) {
        failAfter(read, new TargetsReadResult.Unavailable("no response"), 0);
      } else if (fails()) {
        pendingResults.add(() -> read.complete(new TargetsReadResult.Unavailable("rejected")));
      } else {
        TargetsReadResult result = store.read((int) from);
        pendingResults.add(() -> read.complete(result));
      }
      return read;
    }

    @Override
    public CompletionStage<DirectoryReadResult> readDirectory() {
      CompletableFuture<DirectoryReadResult> read = new CompletableFuture<>();
      if (fails()) {
        pendingResults.add(() -> read.complete(new DirectoryReadResult.Unavailable("rejected")));
      } else {
        List<Member> members = List.copyOf(store.directory.values());
        pendingResults.add(() -> read.complete(new DirectoryReadResult.Read(members)));
      }
      return read;
    }

    @Override
    public CompletionStage<DirectoryUpdateResult> register(Member instance) {
      return change(() -> store.directory.put(instance.id(), instance));
    }

    @Override
    public CompletionStage<DirectoryUpdateResult> deregister(InstanceId instance) {
      return change(() -> store.directory.remove(instance));
    }

    private CompletionStage<DirectoryUpdateResult> change(Runnable change) {
      CompletableFuture<DirectoryUpdateResult> changed = new CompletableFuture<>();
      if (fails()) {
        pendingResults.add(
            () -> changed.complete(new DirectoryUpdateResult.OutcomeUnknown("rejected")));
      } else {
        change.run();
        pendingResults.add(() -> changed.complete(new DirectoryUpdateResult.Acknowledged()));
      }
      return changed;
    }
  }

  private static final class Node {
    final int index;
    final FailingCatalogSource source;
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
      this.source = new FailingCatalogSource(store, index);
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
      return configuration.pool(POOL).map(Pool::targets).orElse(List.of()).stream()
          .map(t -> t.id().value())
          .sorted()
          .toList();
    }
  }

  private static InstanceId id(int index) {
    return new InstanceId("entry-" + index);
  }

  /** A fleet of instances that all reach each other, with a simulated clock. */
  private static final class SimulatedFleet {
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
        case CatalogMessages.StoreUnavailable ignored ->
            new CatalogInput.StoreUnavailableReceived();
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
  }

  @Nested
  class AvailableStore {
    @Test
    void givesAllInstancesTheSameTargets() {
      store.versions.add("v1");
      store.publish("a", false, 1);
      store.publish("b", false, 1);
      fleet.advance(1_000);
      fleet.forEach(node -> assertThat(node.targets()).containsExactly("a", "b"));
    }

    // Guards against a read load that grows with the number of instances.
    @Test
    void isReadByOneInstanceAtATime() {
      store.versions.add("v1");
      store.publish("a", false, 1);
      fleet.advance(2_000);
      int before = store.targetReads;
      for (int i = 0; i < 20; i++) {
        store.publish("a", false, i + 2);
        fleet.advance(500);
      }
      assertThat(store.targetReads - before).isAtMost(30);
    }

    // Guards against a load of long polls that grows with the number of instances.
    @Test
    void isPolledForSettingsByOneInstanceAtATime() {
      store.versions.add("v1");
      store.publish("a", false, 1);
      fleet.advance(2_000);
      int before = store.settingsReads;
      fleet.advance(10_000);
      assertThat(store.settingsReads - before).isAtMost(13);
    }

    // Guards against routing work to a draining target for more than 2 s.
    @Test
    void disseminatesADrainingTargetInTime() {
      store.versions.add("v1");
      store.publish("a", false, 1);
      store.publish("b", false, 1);
      fleet.advance(2_000);
      store.publish("a", true, 2);
      fleet.advance(1_000);
      fleet.forEach(node -> assertThat(node.targets()).containsExactly("b"));
    }
  }

  @Nested
  class PartOfTheFleetRejected {
    // Guards against instances that keep stale targets because the store rejects only their reads.
    @Test
    void followsItsPeers() {
      store.versions.add("v1");
      store.publish("a", false, 1);
      store.publish("b", false, 1);
      fleet.advance(2_000);
      for (int only = 0; only < INSTANCES; only++) {
        store.rejectedInstances.clear();
        for (int i = 0; i < INSTANCES; i++) {
          if (i != only) {
            store.rejectedInstances.add(i);
          }
        }
        fleet.advance(1_000);
        store.publish("a", only % 2 == 0, only + 2);
        store.versions.add("v" + (only + 2));
        fleet.advance(2_000);
        int reader = only;
        fleet.forEach(
            node ->
                assertThat(node.targets())
                    .containsExactlyElementsIn(reader % 2 == 0 ? List.of("b") : List.of("a", "b")));
      }
    }

    // Guards against withdrawn keys that go on working for more than 2 s, because the store rejects
    // the instances that read the settings and the others rely on them.
    @Test
    void getsNewSettingsWhicheverReadersAreRejected() {
      checkSettingsArrive(store.rejectedInstances);
    }

    // Guards against the same while reads are neither rejected nor answered.
    @Test
    void getsNewSettingsWhicheverReadersAreNotAnswered() {
      checkSettingsArrive(store.unansweredInstances);
    }

    private void checkSettingsArrive(Set<Integer> failing) {
      store.versions.add("v1");
      store.publish("a", false, 1);
      fleet.advance(2_000);
      for (int count = 1; count < INSTANCES; count++) {
        failing.addAll(fleet.firstReaders(count));
        for (int i = 0; i < 5; i++) {
          fleet.advance(i * 290);
          store.versions.add("v" + (store.versions.size() + 1));
          fleet.advance(1_900);
          fleet.forEach(node -> assertThat(node.version).isEqualTo(store.versions.size()));
        }
        failing.clear();
        fleet.advance(3_000);
      }
    }

    // Guards against a new poll of every instance that took over, after the first readers are back.
    @Test
    void leavesLongPollsToTheFirstReaderAfterwards() {
      store.versions.add("v1");
      store.publish("a", false, 1);
      store.rejectedInstances.addAll(fleet.firstReaders(3));
      fleet.advance(4_000);
      store.rejectedInstances.clear();
      fleet.advance(3_000);
      int before = store.settingsReads;
      fleet.advance(10_000);
      assertThat(store.settingsReads - before).isAtMost(13);
    }

    // Guards against an instance without any configuration because the store has rejected its reads
    // since it started.
    @Test
    void synchronizesWithAPeer() {
      store.versions.add("v1");
      store.publish("a", false, 1);
      store.rejectedInstances.add(3);
      fleet.advance(3_000);
      assertThat(fleet.nodes.get(3).targets()).containsExactly("a");
    }

    // Guards against an instance that never becomes ready because the sync response that it
    // requested contains no target beyond those in earlier updates.
    @Test
    void isReadyAfterAResponseWithoutNewTargets() {
      store.versions.add("v1");
      store.publish("a", false, 1);
      store.rejectedInstances.add(3);
      fleet.advance(3_000);
      fleet.forEach(node -> assertThat(node.isFresh).isTrue());
    }
  }

  @Nested
  class Outage {
    // Guards against empty pools after an outage in which the entries of live targets expired.
    @Test
    void keepsTargetsThatMayRegisterAgainSoonAfterIt() {
      store.versions.add("v1");
      store.publish("a", false, 1);
      store.publish("gone", false, 1);
      fleet.advance(2_000);
      store.down = true;
      fleet.advance(4_000);
      store.remove("a");
      store.remove("gone");
      store.down = false;
      fleet.advance(1_500);
      fleet.forEach(node -> assertThat(node.targets()).containsExactly("a", "gone"));
      store.publish("a", false, 2);
      fleet.advance(3_000);
      fleet.forEach(node -> assertThat(node.targets()).containsExactly("a"));
    }

    // Guards against the loss of a live target by an instance that reads for the first time after
    // an outage, so that only its peers have noticed it.
    @Test
    void isNoticedByTheReportOfAPeer() {
      store.versions.add("v1");
      store.publish("a", false, 1);
      store.publish("b", false, 1);
      fleet.advance(2_000);
      store.rejectedInstances.addAll(fleet.firstReaders(INSTANCES - 1));
      fleet.advance(900);
      store.remove("a");
      fleet.advance(600);
      fleet.forEach(node -> assertThat(node.targets()).containsExactly("a", "b"));
    }

    // Guards against a removed target that stays in use for 4 s, because the loss of the instances
    // that read the store counts as an outage of the store.
    @Test
    void isNotInferredFromTheLossOfTheReaders() {
      store.versions.add("v1");
      store.publish("a", false, 1);
      store.publish("gone", false, 1);
      fleet.advance(2_000);
      fleet.stoppedInstances.addAll(fleet.firstReaders(INSTANCES - 1));
      store.remove("gone");
      fleet.advance(1_900);
      fleet.nodes.stream()
          .filter(node -> !fleet.stoppedInstances.contains(node.index))
          .forEach(node -> assertThat(node.targets()).containsExactly("a"));
    }

    // Guards against a grace period without an outage, when a missing target has left.
    @Test
    void givesNoGracePeriodWithoutOne() {
      store.versions.add("v1");
      store.publish("a", false, 1);
      store.publish("gone", false, 1);
      fleet.advance(2_000);
      store.remove("gone");
      fleet.advance(1_000);
      fleet.forEach(node -> assertThat(node.targets()).containsExactly("a"));
    }
  }

  @Nested
  class CompleteLists {
    private void publishTwoTargets() {
      store.versions.add("v1");
      store.publish("a", false, 1);
      store.publish("gone", false, 1);
      fleet.advance(2_000);
    }

    // Guards against a removed target that stays in use because the store deleted its removal
    // before any instance read it.
    @Test
    void removeTargetsWhoseRemovalWasDeleted() {
      publishTwoTargets();
      store.remove("gone");
      store.deleteHistory();
      fleet.advance(1_000);
      fleet.forEach(node -> assertThat(node.targets()).containsExactly("a"));
    }

    // Guards against instances that skip a removal because an instance that has restarted read a
    // later state of the list.
    @Test
    void ofARestartedInstanceRemoveTargetsAtItsPeers() {
      publishTwoTargets();
      for (int i = 0; i < INSTANCES; i++) {
        store.publish("gone", false, 2);
        fleet.advance(1_000);
        store.remove("gone");
        fleet.restart(i);
        fleet.advance(1_000);
        fleet.forEach(node -> assertThat(node.targets()).containsExactly("a"));
      }
    }

    // Guards against traffic that grows with the square of the number of instances when many
    // restart.
    @Test
    void areSentToAllPeersOnlyAfterADeletion() {
      publishTwoTargets();
      for (int i = 0; i < INSTANCES; i++) {
        fleet.restart(i);
        fleet.advance(1_000);
      }
      assertThat(fleet.sentLists).isEqualTo(0);
      store.publish("a", false, 2);
      store.deleteHistory();
      fleet.advance(1_000);
      assertThat(fleet.sentLists).isEqualTo(1);
    }

    // Guards against a removed target that a peer which has never known it can't name.
    @Test
    void ofAPeerRemoveTargetsThatItHasNeverKnown() {
      publishTwoTargets();
      int cutOff = 3;
      store.rejectedInstances.add(cutOff);
      fleet.unreachableInstances.add(cutOff);
      store.remove("gone");
      store.deleteHistory();
      for (int i = 0; i < INSTANCES; i++) {
        if (i != cutOff) {
          fleet.restart(i);
        }
      }
      fleet.advance(700);
      assertThat(fleet.nodes.get(cutOff).targets()).containsExactly("a", "gone");
      fleet.unreachableInstances.clear();
      fleet.advance(1_000);
      fleet.forEach(node -> assertThat(node.targets()).containsExactly("a"));
    }

    // Guards against a removed target that a restarted instance learns from a peer's older records.
    @Test
    void areNotExtendedByOlderRecords() {
      publishTwoTargets();
      TargetChange older = store.records.get(1);
      store.remove("gone");
      store.deleteHistory();
      fleet.restart(0);
      fleet.advance(1_000);
      fleet
          .nodes
          .getFirst()
          .inbox
          .add(
              new CatalogInput.UpdateReceived(
                  id(1),
                  new CatalogMessages.Update(
                      1, 1, 2, List.of(CatalogMessages.TargetRecord.of(older)), false)));
      fleet.advance(1_000);
      assertThat(fleet.nodes.getFirst().targets()).containsExactly("a");
    }

    // Guards against a removal that is skipped in an upgrade: older builds send their first read,
    // which was a complete list, like changes from offset 0.
    @Test
    void ofAnOlderBuildDoNotHideRemovals() {
      publishTwoTargets();
      store.remove("gone");
      CatalogMessages.Update update =
          new CatalogMessages.Update(
              1,
              0,
              store.records.size(),
              List.of(CatalogMessages.TargetRecord.of(store.records.getFirst())),
              false);
      fleet.forEach(
          node -> node.inbox.add(new CatalogInput.UpdateReceived(id(node.index ^ 1), update)));
      fleet.advance(1_000);
      fleet.forEach(node -> assertThat(node.targets()).containsExactly("a"));
    }

    // Guards against empty pools after an outage in which the entries of live targets expired and
    // an instance was restarted.
    @Test
    void afterAnOutageLeaveTargetsTheirGracePeriod() {
      publishTwoTargets();
      store.down = true;
      fleet.advance(4_000);
      store.remove("a");
      store.deleteHistory();
      store.down = false;
      fleet.restart(0);
      fleet.advance(1_500);
      assertThat(fleet.nodes.get(1).targets()).containsExactly("a", "gone");
      store.publish("a", false, 2);
      fleet.advance(3_000);
      fleet.forEach(node -> assertThat(node.targets()).containsExactly("a", "gone"));
    }
  }

  @Nested
  class Versions {
    // Guards against a version that goes back or is applied only in part.
    @Test
    void onlyIncreaseAndAreValid() {
      store.versions.add("v5");
      store.publish("a", false, 1);
      fleet.advance(1_000);
      long before = fleet.nodes.getFirst().configuration.offset();
      store.versions.add("cut short");
      store.versions.add("v4");
      fleet.advance(1_000);
      assertThat(fleet.nodes.getFirst().configuration.offset()).isEqualTo(before);
      store.versions.add("v6");
      fleet.advance(1_000);
      assertThat(fleet.nodes.getFirst().configuration.offset()).isEqualTo(before + 1);
    }
  }

  @Nested
  class DirectoryOfInstances {
    private final Node node = fleet.nodes.getFirst();

    private void view(boolean awaitsRegistration, Set<InstanceId> departed) {
      node.inbox.add(
          new CatalogInput.FleetChanged(
              new FleetView(Delegation.NONE, 1, awaitsRegistration, departed)));
    }

    // Guards against a registration before the other instances count the new one.
    @Test
    void listsTheInstanceOnlyWhenTheFleetIsReady() {
      fleet.advance(1_000);
      assertThat(node.directory.getLast().containsSelf()).isFalse();
      assertThat(store.directory).isEmpty();
      view(true, Set.of());
      fleet.advance(1_000);
      assertThat(store.directory.keySet()).containsExactly(id(0));
    }

    // Guards against two instances that register concurrently and do not know of each other.
    @Test
    void isReadAgainAfterRegistration() {
      fleet.advance(1_000);
      Member other = new Member(id(7), 1, new FailureDomain("b"), "");
      store.directory.put(other.id(), other);
      view(true, Set.of());
      fleet.advance(1_000);
      assertThat(node.directory.getLast())
          .isEqualTo(new Broadcasts.InstanceDirectory(List.of(other), true));
    }

    @Test
    void isReadWhenTheStoreRecovers() {
      store.down = true;
      fleet.advance(3_000);
      assertThat(node.directory).isEmpty();
      store.down = false;
      fleet.advance(3_000);
      assertThat(node.directory).hasSize(1);
    }

    @Test
    void losesInstancesThatHaveDeparted() {
      Member departed = new Member(id(7), 1, new FailureDomain("b"), "");
      store.directory.put(departed.id(), departed);
      view(false, Set.of(departed.id()));
      fleet.advance(1_000);
      assertThat(store.directory).isEmpty();
      assertThat(node.departed).containsExactly(departed.id());
    }

    // Guards against dropping an instance from the roster that the directory still lists, and that
    // others which read the directory still count.
    @Test
    void keepsInstancesCountedWhileItCannotBeChanged() {
      store.down = true;
      view(false, Set.of(id(7)));
      fleet.advance(1_000);
      assertThat(node.departed).isEmpty();
    }
  }
}
