package org.bergamotcross.entry.duties;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.Broadcasts.Freshness;
import org.bergamotcross.entry.duties.SimulatedFleet.Instance;
import org.bergamotcross.entry.platform.PlatformClient.PlatformInstance;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against instances that miss or lose a configuration change, or act on a superseded one,
 * while parts of the fleet fail.
 */
class ConfigDutyFaultTest {
  private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(4);
  private static final Duration FRESHNESS_VALIDITY = Duration.ofSeconds(3);
  private final SimulatedFleet fleet = new SimulatedFleet("a", "b", "c", "d", "e");
  private int withdrawals;

  private static String hash(int number) {
    return String.format("%064x", number);
  }

  private long withdraw() {
    int number = ++withdrawals;
    return fleet.log.append(new ControlRecord.Withdraw("w" + number, new KeyHash(hash(number))));
  }

  private Instance instance(String id) {
    return fleet.get(id);
  }

  private void setLinks(String one, String other, boolean up) {
    fleet.setLink(one, other, up);
    fleet.setLink(other, one, up);
  }

  private boolean isFreshWithout(String id, long offset) {
    return instance(id).isFresh() && instance(id).offset() < offset;
  }

  private List<InstanceId> members(Instance seenBy) {
    return seenBy.configuration.members().list().stream().map(m -> m.id()).toList();
  }

  private static InstanceId id(String text) {
    return new InstanceId(text);
  }

  @BeforeEach
  void start() {
    fleet.run(Duration.ofSeconds(5));
    assertThat(members(instance("a"))).hasSize(5);
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  @Nested
  class HealthyFleet {
    @Test
    void hasAnAcceptedChangeEverywhereAndStaysFresh() {
      long offset = withdraw();
      fleet.run(Duration.ofMillis(200));
      assertThat(fleet.allHave(offset)).isTrue();
      fleet.run(
          Duration.ofSeconds(20),
          () -> fleet.instances.values().forEach(i -> assertThat(i.isFresh()).isTrue()));
    }

    @Test
    void appendsNoFurtherMembershipRecords() {
      long before = fleet.log.next();
      fleet.run(Duration.ofSeconds(60));
      assertThat(fleet.log.next()).isEqualTo(before);
    }
  }

  @Nested
  class InstanceWithoutTheLog {
    // The instance is partitioned from the log, but well connected to its peers.
    @Test
    void getsChangesFromItsPeersWithinTheBound() {
      fleet.log.unreachableFor.add("c");
      fleet.run(Duration.ofSeconds(5));
      long offset = withdraw();
      fleet.run(PROPAGATION_LIMIT);
      assertThat(instance("c").offset()).isAtLeast(offset);
      assertThat(instance("c").isFresh()).isTrue();
      assertThat(instance("c").configuration.isWithdrawn(new KeyHash(hash(1)))).isTrue();
    }

    @Test
    void stopsWithinTheValidityWhenItIsCutFromThePeersToo() {
      fleet.log.unreachableFor.add("c");
      fleet.setPeersCut("c", true);
      fleet.run(FRESHNESS_VALIDITY);
      assertThat(instance("c").isFresh()).isFalse();
      fleet.run(Duration.ofSeconds(2), () -> assertThat(instance("c").isFresh()).isFalse());
    }

    @Test
    void stopsWhenItHearsButIsNotHeard() {
      fleet.log.unreachableFor.add("c");
      List.of("a", "b", "d", "e").forEach(other -> fleet.setLink("c", other, false));
      fleet.run(FRESHNESS_VALIDITY);
      assertThat(instance("c").isFresh()).isFalse();
    }
  }

  @Nested
  class LogOutage {
    @Test
    void forAllLeavesAllFresh() {
      fleet.log.outage = true;
      fleet.run(
          Duration.ofMinutes(5),
          () -> fleet.instances.values().forEach(i -> assertThat(i.isFresh()).isTrue()));
      assertThat(instance("a").freshness.get().source()).isEqualTo(Freshness.Source.PEERS);
    }

    @Test
    void stopsAMinorityThatIsCutOff() {
      fleet.log.outage = true;
      for (String minority : List.of("d", "e")) {
        for (String other : List.of("a", "b", "c")) {
          setLinks(minority, other, false);
        }
      }
      fleet.run(FRESHNESS_VALIDITY.plusMillis(600));
      assertThat(instance("d").isFresh()).isFalse();
      assertThat(instance("a").isFresh()).isTrue();
    }

    // The restarted instance c has lost the withdrawal, which only a majority with c had.
    @Test
    void stopsThoseWhoseMajorityRestsOnARestartedProcess() {
      List<String> knowing = List.of("a", "b", "c");
      fleet.log.unreachableFor.addAll(List.of("d", "e"));
      List.of("d", "e").forEach(id -> knowing.forEach(other -> setLinks(id, other, false)));
      long offset = withdraw();
      fleet.run(Duration.ofSeconds(4));
      assertThat(instance("c").offset()).isEqualTo(offset);
      fleet.log.outage = true;
      fleet.start("c");
      List.of("a", "b").forEach(other -> setLinks("c", other, false));
      List.of("d", "e").forEach(other -> setLinks("c", other, true));
      fleet.run(
          Duration.ofSeconds(8),
          () ->
              List.of("c", "d", "e")
                  .forEach(id -> assertThat(isFreshWithout(id, offset)).isFalse()));
      assertThat(instance("c").offset()).isEqualTo(instance("d").offset());
    }

    // A crash of the only instance that has read the last record must not stop the others.
    @Test
    void goesOnWhenTheOneThatWasAheadDies() {
      for (String other : List.of("a", "b", "c", "d")) {
        fleet.log.unreachableFor.add(other);
        fleet.setLink(other, "e", false);
      }
      long offset = withdraw();
      fleet.run(Duration.ofSeconds(1));
      assertThat(instance("e").offset()).isEqualTo(offset);
      fleet.log.outage = true;
      fleet.stop("e");
      fleet.run(Duration.ofSeconds(8));
      assertThat(instance("a").isFresh()).isTrue();
    }
  }

  @Nested
  class PausedInstance {
    // Its inbox holds log pages and heartbeat echoes that arrived during the pause; they must not
    // confirm freshness.
    @Test
    void isNotFreshWhenItResumes() {
      Instance paused = instance("b");
      paused.paused = true;
      fleet.run(Duration.ofSeconds(6));
      withdraw();
      fleet.log.unreachableFor.add("b");
      fleet.run(Duration.ofSeconds(6));
      fleet.setPeersCut("b", true);
      paused.paused = false;
      fleet.run(Duration.ofSeconds(3), () -> assertThat(paused.isFresh()).isFalse());
    }

    @Test
    void catchesUpWhenItResumes() {
      Instance paused = instance("b");
      paused.paused = true;
      fleet.run(Duration.ofSeconds(6));
      long offset = withdraw();
      paused.paused = false;
      fleet.run(
          PROPAGATION_LIMIT,
          () -> assertThat(paused.isFresh() && paused.offset() < offset).isFalse());
      assertThat(paused.offset()).isAtLeast(offset);
      assertThat(paused.isFresh()).isTrue();
    }

    @Test
    void expelsNobodyWhenItResumes() {
      instance("a").paused = true;
      fleet.run(Duration.ofSeconds(40));
      instance("a").paused = false;
      fleet.run(Duration.ofSeconds(20));
      assertThat(members(instance("c"))).hasSize(5);
    }
  }

  @Nested
  class WallClock {
    @Test
    void mayStepInBothDirections() {
      long offset = withdraw();
      instance("a").wallShift = Duration.ofHours(5).toMillis();
      instance("b").wallShift = -Duration.ofHours(5).toMillis();
      fleet.run(
          Duration.ofSeconds(10),
          () -> fleet.instances.values().forEach(i -> assertThat(i.isFresh()).isTrue()));
      assertThat(fleet.allHave(offset)).isTrue();
      fleet.log.unreachableFor.add("a");
      fleet.setPeersCut("a", true);
      fleet.run(FRESHNESS_VALIDITY);
      assertThat(instance("a").isFresh()).isFalse();
    }
  }

  @Nested
  class OldPages {
    @Test
    void forOneInstanceAreMadeUpForByItsPeers() {
      fleet.log.oldPagesFor.add("b");
      fleet.run(Duration.ofSeconds(1));
      long offset = withdraw();
      fleet.run(PROPAGATION_LIMIT);
      assertThat(instance("b").offset()).isEqualTo(offset);
    }

    @Test
    void forAllConfirmNothing() {
      withdraw();
      fleet.run(Duration.ofMillis(200));
      fleet.log.oldPagesFor.addAll(Set.of("a", "b", "c", "d", "e"));
      fleet.run(FRESHNESS_VALIDITY);
      fleet.run(
          Duration.ofSeconds(5),
          () ->
              assertThat(instance("a").freshness.get().source()).isEqualTo(Freshness.Source.PEERS));
    }
  }

  @Nested
  class Restart {
    @Test
    void withoutMemoryPastTheRetentionReachesTheSameState() {
      fleet.log.retention = 20;
      for (int i = 0; i < 100; i++) {
        withdraw();
        fleet.run(Duration.ofMillis(700));
      }
      fleet.start("c");
      fleet.run(PROPAGATION_LIMIT);
      Instance restarted = instance("c");
      assertThat(restarted.configuration.isWithdrawn(new KeyHash(hash(1)))).isTrue();
      assertThat(restarted.offset()).isEqualTo(instance("a").offset());
      assertThat(restarted.isFresh()).isTrue();
    }

    // All instances restart at once, so that no peer can supply the state.
    @Test
    void ofTheWholeFleetFindsEverythingInTheLog() {
      fleet.log.retention = 20;
      for (int i = 0; i < 100; i++) {
        withdraw();
        fleet.run(Duration.ofMillis(700));
      }
      List.of("a", "b", "c", "d", "e").forEach(fleet::stop);
      List.of("a", "b", "c", "d", "e").forEach(fleet::start);
      fleet.run(PROPAGATION_LIMIT);
      for (Instance restarted : fleet.instances.values()) {
        for (int number = 1; number <= 100; number++) {
          assertWithMessage("key %s at %s", number, restarted.member.id())
              .that(restarted.configuration.isWithdrawn(new KeyHash(hash(number))))
              .isTrue();
        }
      }
    }

    // Peers buffer only the latest records, so the instance needs a snapshot of the whole state.
    @Test
    void duringALogOutageAdoptsTheStateOfAPeer() {
      for (int i = 0; i < 1_100; i++) {
        withdraw();
      }
      fleet.run(Duration.ofSeconds(2));
      fleet.log.outage = true;
      fleet.start("c");
      fleet.run(PROPAGATION_LIMIT);
      assertThat(instance("c").offset()).isEqualTo(instance("a").offset());
      assertThat(instance("c").configuration.isWithdrawn(new KeyHash(hash(1)))).isTrue();
    }

    @Test
    void duringALogOutageGetsTheStateFromPeers() {
      withdraw();
      fleet.run(Duration.ofSeconds(1));
      fleet.log.outage = true;
      fleet.start("c");
      fleet.run(PROPAGATION_LIMIT);
      assertThat(instance("c").configuration.isWithdrawn(new KeyHash(hash(1)))).isTrue();
      assertThat(instance("c").isFresh()).isTrue();
    }
  }

  @Nested
  class Membership {
    @Test
    void endsForADeadInstance() {
      fleet.stop("c");
      fleet.run(Duration.ofSeconds(12));
      assertThat(members(instance("a"))).containsExactly(id("a"), id("b"), id("d"), id("e"));
    }

    // The instance of rank 0 is dead, too, so that another one has to propose the expulsion.
    @Test
    void endsWhenTheFirstProposerIsDeadToo() {
      fleet.stop("a");
      fleet.stop("b");
      fleet.run(Duration.ofSeconds(12));
      assertThat(members(instance("c"))).containsExactly(id("c"), id("d"), id("e"));
    }

    // The response to each append is lost; the records are read back instead of appended again.
    @Test
    void survivesLostAnswers() {
      fleet.log.losesAppendResponses = true;
      fleet.stop("c");
      fleet.run(Duration.ofSeconds(14));
      long records = fleet.log.next();
      fleet.start("c");
      fleet.run(Duration.ofSeconds(10));
      assertThat(members(instance("a"))).hasSize(5);
      assertThat(fleet.log.next()).isEqualTo(records + 1);
    }

    // The instance reads its own join record only 1.5 s later and must not append it again before.
    @Test
    void beginsWithOneRecordWhenReadsAreSlow() {
      fleet.log.readDelayMillis = 1_500;
      long records = fleet.log.next();
      fleet.start("c");
      fleet.run(Duration.ofSeconds(10));
      assertThat(members(instance("a"))).hasSize(5);
      assertThat(fleet.log.next()).isEqualTo(records + 1);
    }

    @Test
    void endsWithAPlannedStop() {
      instance("c").inbox.add(new ConfigMessage.ShutdownStarted());
      fleet.run(Duration.ofMillis(500));
      assertThat(members(instance("a"))).hasSize(4);
      fleet.run(Duration.ofSeconds(5));
      assertThat(members(instance("a"))).hasSize(4);
    }
  }

  @Nested
  class LeavingTargets {
    @Test
    void arePublishedWithinTheBound() {
      String content =
          """
          [team]
          name = fuel
          [pool p]
          floor = 0.5
          slots = 4
          targets = t1=127.0.0.1:9001@x, t2=127.0.0.1:9002@y
          """;
      fleet.log.append(new ControlRecord.Edit("e", "/teams/fuel", -1, "vera", content));
      fleet.run(Duration.ofSeconds(2));
      Set<?>[] seen = new Set<?>[1];
      instance("a")
          .kernel
          .context()
          .subscribe(Broadcasts.LEAVING_TARGETS, leaving -> seen[0] = leaving.targets());
      fleet.log.instances =
          List.of(
              new PlatformInstance(
                  "t2",
                  PlatformInstance.Kind.TARGET,
                  PlatformInstance.State.LEAVING,
                  "127.0.0.1:9002",
                  "y"));
      fleet.run(Duration.ofSeconds(2));
      assertThat(seen[0].toString()).isEqualTo("[t2]");
    }
  }
}
