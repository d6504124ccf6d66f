package org.bergamotcross.entry.catalog;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.bergamotcross.core.config.TargetChange;
import org.bergamotcross.core.membership.Delegation;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.entry.Broadcasts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Simulates a fleet of catalog duties over one store that may fail for some of them. */
class CatalogDutyTest {
  private final SimulatedStore store = new SimulatedStore();
  private final SimulatedFleet fleet = new SimulatedFleet(store);

  @AfterEach
  void close() {
    fleet.close();
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
      for (int only = 0; only < SimulatedFleet.INSTANCES; only++) {
        store.rejectedInstances.clear();
        for (int i = 0; i < SimulatedFleet.INSTANCES; i++) {
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
      for (int count = 1; count < SimulatedFleet.INSTANCES; count++) {
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
      store.rejectedInstances.addAll(fleet.firstReaders(SimulatedFleet.INSTANCES - 1));
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
      fleet.stoppedInstances.addAll(fleet.firstReaders(SimulatedFleet.INSTANCES - 1));
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
      for (int i = 0; i < SimulatedFleet.INSTANCES; i++) {
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
      for (int i = 0; i < SimulatedFleet.INSTANCES; i++) {
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
      for (int i = 0; i < SimulatedFleet.INSTANCES; i++) {
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
                  SimulatedFleet.id(1),
                  new CatalogMessages.Update(
                      1, 1, 2, List.of(CatalogMessages.TargetRecord.of(older)), false, 1, 0)));
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
              false,
              0,
              0);
      fleet.forEach(
          node ->
              node.inbox.add(
                  new CatalogInput.UpdateReceived(SimulatedFleet.id(node.index ^ 1), update)));
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
    private final SimulatedFleet.Node node = fleet.nodes.getFirst();

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
      assertThat(store.directory.keySet()).containsExactly(SimulatedFleet.id(0));
    }

    // Guards against two instances that register concurrently and do not know of each other.
    @Test
    void isReadAgainAfterRegistration() {
      fleet.advance(1_000);
      Member other = new Member(SimulatedFleet.id(7), 1, new FailureDomain("b"), "");
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
      Member departed = new Member(SimulatedFleet.id(7), 1, new FailureDomain("b"), "");
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
      view(false, Set.of(SimulatedFleet.id(7)));
      fleet.advance(1_000);
      assertThat(node.departed).isEmpty();
    }
  }
}
