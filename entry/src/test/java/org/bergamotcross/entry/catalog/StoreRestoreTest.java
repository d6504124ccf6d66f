package org.bergamotcross.entry.catalog;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.bergamotcross.core.config.CatalogPosition;
import org.bergamotcross.core.config.TargetChange;
import org.bergamotcross.core.membership.Delegation;
import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.entry.CatalogSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against instances that keep, or lose, the wrong things after a restore of the store. */
class StoreRestoreTest {
  private final SimulatedStore store = new SimulatedStore();
  private final SimulatedFleet fleet = new SimulatedFleet(store);

  @AfterEach
  void close() {
    fleet.close();
  }

  @Nested
  class RestoredStore {
    private void publishVersionsAndTargets() {
      store.versions.addAll(List.of("v1", "v2", "v3"));
      store.publish("a", false, 1);
      store.publish("b", false, 1);
      store.publish("c", false, 1);
      fleet.advance(2_000);
    }

    @Test
    void givesNewSettingsAgain() {
      publishVersionsAndTargets();
      store.restore(3, 1);
      fleet.advance(1_000);
      fleet.forEach(node -> assertThat(node.version).isEqualTo(3));
      store.versions.add("v4");
      fleet.advance(1_500);
      fleet.forEach(node -> assertThat(node.version).isEqualTo(4));
    }

    @Test
    void givesNewTargetsAgain() {
      publishVersionsAndTargets();
      store.restore(1, 3);
      store.publish("b", false, 2);
      store.publish("d", false, 1);
      fleet.advance(1_500);
      fleet.forEach(node -> assertThat(node.targets()).containsAtLeast("a", "b", "d"));
    }

    @Test
    void leavesTargetsTimeToRegisterAgain() {
      publishVersionsAndTargets();
      store.restore(1, 3);
      fleet.advance(2_000);
      fleet.forEach(node -> assertThat(node.targets()).containsExactly("a", "b", "c"));
      store.publish("b", false, 2);
      fleet.advance(2_000);
      fleet.forEach(node -> assertThat(node.targets()).containsExactly("a", "b"));
    }

    @Test
    void doesNotBringRemovedOrDrainingTargetsBack() {
      publishVersionsAndTargets();
      store.remove("a");
      store.publish("b", true, 2);
      fleet.advance(1_000);
      fleet.forEach(node -> assertThat(node.targets()).containsExactly("c"));
      store.restore(3, 3);
      store.publish("c", false, 2);
      for (int i = 0; i < 20; i++) {
        fleet.advance(200);
        fleet.forEach(node -> assertThat(node.targets()).containsExactly("c"));
      }
      store.publish("a", false, 2);
      fleet.advance(1_000);
      fleet.forEach(node -> assertThat(node.targets()).containsExactly("a", "c"));
    }

    @Test
    void registersTheInstancesAgain() {
      fleet.forEach(
          node ->
              node.inbox.add(
                  new CatalogInput.FleetChanged(
                      new FleetView(Delegation.NONE, 1, true, Set.of()))));
      publishVersionsAndTargets();
      fleet.forEach(
          node ->
              node.inbox.add(
                  new CatalogInput.FleetChanged(
                      new FleetView(Delegation.NONE, 1, false, Set.of()))));
      fleet.advance(1_000);
      assertThat(store.directory).hasSize(SimulatedFleet.INSTANCES);
      store.restore(3, 3);
      fleet.advance(2_000);
      assertThat(store.directory).hasSize(SimulatedFleet.INSTANCES);
      // A directory without this instance would end its share of the rates.
      fleet.forEach(node -> assertThat(node.directory.getLast().containsSelf()).isTrue());
    }

    @Test
    void mayBeRestoredTwiceInARow() {
      publishVersionsAndTargets();
      store.restore(2, 2);
      store.restore(1, 1);
      store.publish("b", false, 2);
      store.publish("c", false, 2);
      store.versions.add("v5");
      fleet.advance(4_000);
      fleet.forEach(node -> assertThat(node.version).isEqualTo(5));
      fleet.forEach(node -> assertThat(node.targets()).containsExactly("a", "b", "c"));
    }

    // The store holds an older version than the instances that knew it before.
    @Test
    void leavesTheNewestVersionToAnInstanceThatStartsAfterwards() {
      publishVersionsAndTargets();
      store.restore(3, 1);
      fleet.advance(1_000);
      fleet.restart(0);
      fleet.advance(2_000);
      assertThat(fleet.nodes.getFirst().version).isEqualTo(3);
    }
  }

  /** Guards against messages of one era that act on the records of another. */
  @Nested
  class Messages {
    private final SimulatedFleet.Node node = fleet.nodes.getFirst();

    private CatalogMessages.Update update(long era, int to, boolean complete, String... targets) {
      List<CatalogMessages.TargetRecord> records =
          Stream.of(targets)
              .map(id -> SimulatedStore.target(new CatalogPosition(era, to - 1), id, false, 9))
              .map(CatalogMessages.TargetRecord::of)
              .toList();
      return new CatalogMessages.Update(0, to - 1, to, records, complete, -1, era);
    }

    private void receive(CatalogMessages.Update update) {
      node.inbox.add(new CatalogInput.UpdateReceived(SimulatedFleet.id(1), update));
    }

    private void startInEra(long era) {
      store.era = era;
      store.versions.add("v1");
      store.publish("a", false, 1);
      fleet.advance(2_000);
    }

    // Also covers messages of builds that don't know eras.
    @Test
    void ofAnEarlierEraAreIgnored() {
      startInEra(2);
      for (long era : new long[] {0, 1}) {
        receive(update(era, 900, false, "old"));
        receive(update(era, 900, true, "old"));
      }
      fleet.advance(100);
      assertThat(node.targets()).containsExactly("a");
      store.publish("b", false, 1);
      fleet.advance(1_000);
      fleet.forEach(n -> assertThat(n.targets()).containsExactly("a", "b"));
    }

    // The instance has not read the store since the restore; its peers have.
    @Test
    void ofALaterEraReplaceThePosition() {
      startInEra(1);
      store.rejectedInstances.add(0);
      store.restore(1, 1);
      store.publish("b", false, 1);
      fleet.advance(1_000);
      store.publish("c", false, 1);
      fleet.advance(1_000);
      assertThat(node.targets()).containsExactly("a", "b", "c");
    }

    @Test
    void ofBuildsThatReportNoVersionLeadToTheirSettings() {
      startInEra(0);
      store.rejectedInstances.add(0);
      fleet.restart(0);
      node().inbox.clear();
      node()
          .inbox
          .add(
              new CatalogInput.SettingsReadReceived(
                  SimulatedFleet.id(1),
                  SimulatedFleet.id(1),
                  new CatalogMessages.SettingsRead(1, 0, 0)));
      fleet.advance(1_000);
      assertThat(node().version).isEqualTo(1);
    }

    private SimulatedFleet.Node node() {
      return fleet.nodes.getFirst();
    }
  }

  /** Guards against an answer of an earlier era that undoes one of the new era. */
  @Nested
  class LateAnswers {
    private final SimulatedFleet.Node node = fleet.nodes.getFirst();

    private void restoreOnce() {
      store.era = 1;
      store.versions.add("v1");
      store.publish("a", false, 1);
      fleet.advance(2_000);
      store.restore(1, 1);
      store.publish("b", false, 1);
      fleet.advance(1_000);
    }

    @Test
    void ofTargetsAreIgnored() {
      restoreOnce();
      CatalogPosition end = new CatalogPosition(1, 900);
      TargetChange old = SimulatedStore.target(new CatalogPosition(1, 899), "old", false, 1);
      node.inbox.add(
          new CatalogInput.TargetsReadCompleted(
              new CatalogSource.TargetsReadResult.CompleteList(List.of(old), end)));
      node.inbox.add(
          new CatalogInput.TargetsReadCompleted(
              new CatalogSource.TargetsReadResult.Changes(List.of(old), end)));
      fleet.advance(1_000);
      store.publish("c", false, 1);
      fleet.advance(1_000);
      fleet.forEach(n -> assertThat(n.targets()).containsExactly("a", "b", "c"));
    }

    @Test
    void ofSettingsAreIgnored() {
      restoreOnce();
      node.inbox.add(
          new CatalogInput.SettingsReadCompleted(
              new CatalogSource.SettingsReadResult.Read(
                  Optional.empty(), new CatalogPosition(1, 900))));
      store.versions.add("v2");
      fleet.advance(2_000);
      fleet.forEach(n -> assertThat(n.version).isEqualTo(2));
    }

    // A directory without this instance would end its share of the rates.
    @Test
    void ofTheDirectoryAreReadAgain() {
      restoreOnce();
      int before = node.directory.size();
      node.inbox.add(
          new CatalogInput.DirectoryReadCompleted(
              new CatalogSource.DirectoryReadResult.Read(List.of(), 1)));
      fleet.advance(1_000);
      assertThat(node.directory).hasSize(before);
      fleet.advance(2_000);
      assertThat(node.directory.size()).isGreaterThan(before);
    }
  }

  /** Guards against a share that is kept, or a registration that is lost, by mistake. */
  @Nested
  class Registrations {
    private final SimulatedFleet.Node node = fleet.nodes.getFirst();

    private void register() {
      store.era = 1;
      node.inbox.add(
          new CatalogInput.FleetChanged(new FleetView(Delegation.NONE, 1, true, Set.of())));
      fleet.advance(1_000);
      assertThat(node.directory.getLast().containsSelf()).isTrue();
    }

    @Test
    void areNotRepeatedAfterARemovalInTheSameEra() {
      register();
      store.directory.clear();
      node.inbox.add(
          new CatalogInput.RegistrationCompleted(
              new CatalogSource.DirectoryUpdateResult.Acknowledged(1)));
      fleet.advance(3_000);
      assertThat(node.directory.getLast().containsSelf()).isFalse();
      assertThat(store.directory).isEmpty();
    }

    // A removal that was decided before the restore is executed after the first read of the
    // directory.
    @Test
    void areCheckedAgainSomeSecondsAfterARestore() {
      register();
      store.restore(0, 0);
      fleet.advance(3_000);
      assertThat(store.directory).hasSize(1);
      store.directory.clear();
      fleet.advance(4_000);
      assertThat(node.directory.getLast().containsSelf()).isFalse();
    }

    @Test
    void areRepeatedWhileTheStoreRejectsThem() {
      register();
      store.restore(0, 0);
      store.rejectedInstances.add(0);
      fleet.advance(5_000);
      assertThat(store.directory).isEmpty();
      assertThat(node.directory.getLast().containsSelf()).isTrue();
      store.rejectedInstances.clear();
      fleet.advance(3_000);
      assertThat(store.directory).hasSize(1);
    }
  }
}
