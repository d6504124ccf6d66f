package org.bergamotcross.core.config;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against instances that disagree on the usable targets, or use stopped ones. */
class TargetDirectoryTest {
  private static final ClockReading NOW = ClockReading.ofMillis(10_000);
  private static final PoolId POOL = new PoolId("orders");
  private static final long START = 1_000;

  private final TargetDirectory directory = new TargetDirectory();

  private static TargetChange entry(
      long offset, String id, int port, boolean draining, long start, long sequence) {
    return new TargetChange.Published(
        at(1, offset),
        new TargetEntry(
            new Target(new TargetId(id), "10.0.0.1", port, new FailureDomain("a")),
            POOL,
            4,
            draining,
            start < 0 ? OptionalLong.empty() : OptionalLong.of(start),
            sequence));
  }

  private static CatalogPosition at(long era, long offset) {
    return new CatalogPosition(era, offset);
  }

  private static TargetChange removed(long offset, String id, Duration gracePeriod) {
    return new TargetChange.Removed(at(1, offset), new TargetId(id), gracePeriod);
  }

  private List<String> usable(ClockReading now) {
    return directory.usableTargets(now).stream().map(e -> e.target().id().value()).toList();
  }

  @Nested
  class Order {
    // Guards against instances with different targets because messages arrived in a different
    // order.
    @Test
    void doesNotMatter() {
      List<TargetChange> records =
          new ArrayList<>(
              List.of(
                  entry(1, "a", 1, false, START, 1),
                  entry(2, "b", 2, false, START, 1),
                  entry(3, "a", 1, true, START, 2),
                  removed(4, "b", Duration.ZERO),
                  entry(5, "c", 3, false, START, 1),
                  entry(6, "b", 2, false, START + 50, 1)));
      for (int seed = 0; seed < 20; seed++) {
        Collections.shuffle(records, new Random(seed));
        TargetDirectory shuffled = new TargetDirectory();
        records.forEach(record -> shuffled.apply(record, NOW));
        records.forEach(record -> shuffled.apply(record, NOW));
        assertThat(shuffled.usableTargets(NOW).stream().map(e -> e.target().id().value()).toList())
            .containsExactly("b", "c");
      }
    }

    // Guards against requests to a draining target whose earlier report was written late.
    @Test
    void ofReportsOfOneStartTakesPrecedenceOverOffsets() {
      directory.apply(entry(1, "a", 1, true, START, 7), NOW);
      directory.apply(entry(2, "a", 1, false, START, 6), NOW);
      assertThat(usable(NOW)).isEmpty();
      directory.apply(removed(3, "a", Duration.ZERO), NOW);
      directory.apply(entry(4, "a", 1, false, START, 5), NOW);
      assertThat(usable(NOW)).isEmpty();
      directory.apply(entry(5, "a", 1, false, START + 1, 0), NOW);
      assertThat(usable(NOW)).containsExactly("a");
    }

    // Guards against messages to all instances for every heartbeat.
    @Test
    void heartbeatsAreNotPassedOn() {
      assertThat(directory.apply(entry(1, "a", 1, false, START, 1), NOW)).isTrue();
      assertThat(directory.apply(entry(2, "a", 1, false, START, 2), NOW)).isFalse();
      assertThat(directory.apply(entry(3, "a", 1, true, START, 3), NOW)).isTrue();
      assertThat(directory.apply(removed(4, "a", Duration.ZERO), NOW)).isTrue();
    }

    // Guards against instances that miss a record because another instance, which had it from a
    // peer already, left it out of its own result.
    @Test
    void recordsKnownFromAPeerArePassedOn() {
      directory.apply(entry(1, "a", 1, false, START, 1), NOW);
      assertThat(directory.apply(entry(1, "a", 1, false, START, 1), NOW)).isTrue();
    }
  }

  @Nested
  class GracePeriod {
    // Guards against an empty pool after an outage of the list in which all entries expired.
    @Test
    void keepsARemovedTargetUntilItEnds() {
      directory.apply(entry(1, "a", 1, false, START, 1), NOW);
      directory.apply(removed(2, "a", Duration.ofSeconds(2)), NOW);
      assertThat(usable(NOW.plus(Duration.ofMillis(1_999)))).containsExactly("a");
      assertThat(directory.nextExpiry(NOW)).hasValue(NOW.plus(Duration.ofSeconds(2)));
      assertThat(usable(NOW.plus(Duration.ofSeconds(2)))).isEmpty();
      directory.apply(entry(3, "a", 1, false, START, 9), NOW);
      assertThat(usable(NOW.plus(Duration.ofMinutes(1)))).containsExactly("a");
    }

    // Guards against a draining target that gets requests again because its entry expired.
    @Test
    void doesNotReviveADrainingTarget() {
      directory.apply(entry(1, "a", 1, true, START, 1), NOW);
      directory.apply(removed(2, "a", Duration.ofSeconds(2)), NOW);
      assertThat(usable(NOW)).isEmpty();
    }
  }

  @Nested
  class CompleteList {
    // Guards against a removed target that stays in use because its removal was never read.
    @Test
    void removesTargetsThatItDoesNotName() {
      directory.apply(entry(1, "a", 1, false, START, 1), NOW);
      directory.apply(entry(2, "gone", 2, false, START, 1), NOW);
      assertThat(
              directory.applyComplete(
                  List.of(entry(1, "a", 1, false, START, 1)), at(1, 4), Duration.ZERO, NOW))
          .containsExactly(new TargetId("gone"));
      assertThat(usable(NOW)).containsExactly("a");
    }

    // Guards against dropping a target that registered while the list was read in pages.
    @Test
    void keepsTargetsThatWerePublishedAfterItsEnd() {
      directory.apply(entry(4, "later", 1, false, START, 1), NOW);
      assertThat(directory.applyComplete(List.of(), at(1, 4), Duration.ZERO, NOW)).isEmpty();
      assertThat(usable(NOW)).containsExactly("later");
    }

    // Guards against a target that stays unused although it has registered again.
    @Test
    void doesNotHideALaterRegistration() {
      directory.apply(entry(3, "a", 1, false, START, 1), NOW);
      directory.applyComplete(List.of(), at(1, 4), Duration.ZERO, NOW);
      directory.apply(entry(5, "a", 1, false, START + 1, 0), NOW);
      assertThat(usable(NOW)).containsExactly("a");
    }

    @Test
    void leavesAGracePeriod() {
      directory.apply(entry(1, "a", 1, false, START, 1), NOW);
      directory.applyComplete(List.of(), at(1, 4), Duration.ofSeconds(2), NOW);
      assertThat(usable(NOW)).containsExactly("a");
      assertThat(usable(NOW.plus(Duration.ofSeconds(2)))).isEmpty();
    }

    // Guards against a removed target that comes back through a record sent by a slow peer.
    @Test
    void isNotExtendedByOlderRecords() {
      directory.applyComplete(List.of(), at(1, 4), Duration.ZERO, NOW);
      assertThat(directory.apply(entry(3, "gone", 1, false, START, 1), NOW)).isFalse();
      assertThat(usable(NOW)).isEmpty();
      assertThat(directory.apply(entry(4, "a", 1, false, START, 1), NOW)).isTrue();
      assertThat(usable(NOW)).containsExactly("a");
    }
  }

  @Nested
  class Writers {
    // Guards against requests to a stopped target whose address another one now uses.
    @Test
    void anAddressBelongsToTheLaterStart() {
      directory.apply(entry(1, "old", 1, false, START, 9), NOW);
      directory.apply(entry(2, "new", 1, false, START + 5_000, 1), NOW);
      assertThat(usable(NOW)).containsExactly("new");
    }

    // Guards against a target that exists only in the entry of another writer.
    @Test
    void anEntryWithoutAStartTimeIsIgnoredWhenOthersHaveOne() {
      directory.apply(entry(1, "forged", 2, false, -1, 1), NOW);
      assertThat(usable(NOW)).containsExactly("forged");
      directory.apply(entry(2, "a", 1, false, START, 1), NOW);
      assertThat(usable(NOW)).containsExactly("a");
    }

    // Guards against a new instance that learns less from a peer than the peer knows.
    @Test
    void recordsRebuildTheDirectory() {
      directory.apply(entry(1, "a", 1, false, START, 1), NOW);
      directory.apply(entry(2, "b", 2, true, START, 1), NOW);
      directory.apply(entry(3, "c", 3, false, START, 1), NOW);
      directory.apply(removed(4, "c", Duration.ofSeconds(2)), NOW);
      TargetDirectory copy = new TargetDirectory();
      directory.toRecords(NOW).forEach(record -> copy.apply(record, NOW));
      assertThat(copy.usableTargets(NOW).stream().map(e -> e.target().id().value()).toList())
          .containsExactly("a");
    }
  }

  /** Guards against restored entries that undo what the directory knows, or hide what is new. */
  @Nested
  class Eras {
    private TargetChange restored(long offset, String id, boolean draining, long sequence) {
      TargetChange.Published entry =
          (TargetChange.Published) entry(offset, id, 1, draining, START, sequence);
      return new TargetChange.Published(at(2, offset), entry.entry());
    }

    private void applyRestoredList(TargetChange... records) {
      directory.applyComplete(List.of(records), at(2, 3), Duration.ofSeconds(2), NOW);
    }

    @Test
    void replaceHigherOffsets() {
      directory.apply(entry(90, "a", 1, false, START, 9), NOW);
      applyRestoredList(restored(1, "a", false, 8));
      directory.apply(restored(4, "a", true, 10), NOW);
      assertThat(usable(NOW)).isEmpty();
    }

    @Test
    void doNotBringARemovedTargetBackByItsLastReport() {
      directory.apply(entry(1, "a", 1, false, START, 9), NOW);
      directory.apply(removed(2, "a", Duration.ZERO), NOW);
      applyRestoredList(restored(1, "a", false, 9));
      directory.apply(restored(4, "a", false, 9), NOW);
      assertThat(usable(NOW)).isEmpty();
      assertThat(directory.apply(restored(5, "a", false, 10), NOW)).isTrue();
      assertThat(usable(NOW)).containsExactly("a");
    }

    // The instance that passes the removal on has received more reports than the others.
    @Test
    void doNotBringATargetBackAfterAPeersRemoval() {
      directory.apply(entry(1, "a", 1, false, START, 9), NOW);
      TargetDirectory peer = new TargetDirectory();
      peer.apply(entry(1, "a", 1, false, START, 1), NOW);
      peer.apply(
          directory.withLastReport((TargetChange.Removed) removed(5, "a", Duration.ZERO)), NOW);
      peer.applyComplete(List.of(restored(1, "a", false, 8)), at(2, 3), Duration.ZERO, NOW);
      assertThat(peer.usableTargets(NOW)).isEmpty();
    }

    @Test
    void doNotEndADrain() {
      directory.apply(entry(1, "a", 1, true, START, 9), NOW);
      applyRestoredList(restored(0, "a", false, 8));
      assertThat(usable(NOW)).isEmpty();
    }

    @Test
    void leaveMissingTargetsTheirGracePeriod() {
      directory.apply(entry(90, "a", 1, false, START, 9), NOW);
      applyRestoredList();
      assertThat(usable(NOW.plus(Duration.ofMillis(1_999)))).containsExactly("a");
      assertThat(usable(NOW.plus(Duration.ofSeconds(2)))).isEmpty();
      directory.apply(restored(4, "a", false, 10), NOW);
      assertThat(usable(NOW.plus(Duration.ofSeconds(2)))).containsExactly("a");
    }

    // Guards against a removal that is read again and gives a target that is long gone a grace
    // period.
    @Test
    void doNotGiveARemovedTargetAnotherGracePeriod() {
      directory.apply(entry(1, "a", 1, false, START, 9), NOW);
      directory.apply(removed(2, "a", Duration.ZERO), NOW);
      directory.apply(
          new TargetChange.Removed(at(2, 2), new TargetId("a"), Duration.ofSeconds(2)), NOW);
      assertThat(usable(NOW)).isEmpty();
    }

    // Found by StoreRestoreModelTest: an instance that started after the restore used a target
    // whose removal no peer passed on, because they all knew it from before.
    @Test
    void passOnARemovalThatIsKnownFromAnEarlierOne() {
      directory.apply(entry(1, "a", 1, false, START, 9), NOW);
      directory.apply(removed(2, "a", Duration.ZERO), NOW);
      applyRestoredList(restored(1, "a", false, 9));
      TargetChange again = new TargetChange.Removed(at(2, 4), new TargetId("a"), Duration.ZERO);
      assertThat(directory.apply(again, NOW)).isTrue();
    }

    @Test
    void thatAreEarlierHaveNoEffect() {
      directory.apply(entry(1, "gone", 3, false, START, 1), NOW);
      directory.apply(removed(2, "gone", Duration.ZERO), NOW);
      applyRestoredList(restored(1, "a", false, 1));
      directory.apply(entry(90, "b", 2, false, START, 1), NOW);
      directory.apply(entry(90, "gone", 3, false, START, 2), NOW);
      directory.apply(removed(90, "a", Duration.ZERO), NOW);
      directory.applyComplete(List.of(), at(1, 99), Duration.ZERO, NOW);
      assertThat(usable(NOW)).containsExactly("a");
    }

    // Other instances may have ignored the restored entry, and know of no later one.
    @Test
    void passOnTheFirstReportAfterTheList() {
      applyRestoredList(restored(1, "a", false, 1));
      assertThat(directory.apply(restored(4, "a", false, 2), NOW)).isTrue();
      assertThat(directory.apply(restored(5, "a", false, 3), NOW)).isFalse();
    }
  }
}
