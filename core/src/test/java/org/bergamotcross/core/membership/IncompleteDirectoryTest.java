package org.bergamotcross.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against shares that add up to more than the whole because a restore of the store lost
 * entries of the directory.
 */
class IncompleteDirectoryTest {
  private static final ClockReading START = ClockReading.ofMillis(0);

  private final Member self = member("self");
  private final Member listed = member("listed");
  private final Member lost = member("lost");
  private final Roster roster = new Roster(self, START);

  private static Member member(String id) {
    return new Member(new InstanceId(id), 1, new FailureDomain("d"), "127.0.0.1:1");
  }

  @Nested
  class StartingInstance {
    // A peer names the instance whose entry was lost.
    @Test
    void waitsForTheInstancesThatItsPeersName() {
      roster.applyDirectory(List.of(listed), false, START);
      roster.add(lost, START);
      roster.recordAcknowledgement(listed.id());
      roster.update(1, ClockReading.ofMillis(100));
      assertThat(roster.size()).isEqualTo(3);
      assertThat(roster.awaitsRegistration()).isFalse();
      roster.recordAcknowledgement(lost.id());
      roster.update(2, ClockReading.ofMillis(200));
      assertThat(roster.awaitsRegistration()).isTrue();
    }

    @Test
    void hasNoShareUntilAnInstanceThatIsNamedLateCountsIt() {
      roster.applyDirectory(List.of(listed), false, START);
      roster.recordAcknowledgement(listed.id());
      roster.update(1, ClockReading.ofMillis(100));
      roster.applyDirectory(List.of(listed), true, ClockReading.ofMillis(200));
      roster.add(lost, ClockReading.ofMillis(300));
      roster.update(2, ClockReading.ofMillis(60_000));
      assertThat(roster.isShareUsable()).isFalse();
    }
  }

  @Nested
  class RunningInstance {
    @Test
    void countsTheInstancesThatTheDirectoryHasLost() {
      roster.applyDirectory(List.of(listed, lost), true, START);
      roster.applyDirectory(List.of(listed), true, ClockReading.ofMillis(1_000));
      assertThat(roster.size()).isEqualTo(3);
    }
  }
}
