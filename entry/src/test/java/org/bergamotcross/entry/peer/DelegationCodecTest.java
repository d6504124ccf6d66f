package org.bergamotcross.entry.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.bergamotcross.core.membership.Delegation;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.entry.peer.DelegationCodec.DelegationAnnouncement;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against delegations that a receiver reads differently from what the sender announced. */
class DelegationCodecTest {
  private static final int INSTANCES = 18;

  private final DelegationCodec codec = new DelegationCodec();
  private final List<Member> roster = members("a", INSTANCES);

  private static List<Member> members(String domain, int count) {
    return IntStream.range(0, count)
        .mapToObj(
            i ->
                new Member(
                    new InstanceId("entry-" + (char) ('a' + i)),
                    i,
                    new FailureDomain(domain),
                    "host-" + i))
        .toList();
  }

  private Delegation delegation(Set<InstanceId> settling) {
    return new Delegation(
        INSTANCES, new Members(-1, List.of(roster.get(1), roster.get(17))), settling);
  }

  @Nested
  class RoundTrip {
    @Test
    void keepsCandidatesAndSettlingInstances() {
      for (Set<InstanceId> settling : List.of(Set.<InstanceId>of(), Set.of(roster.get(1).id()))) {
        Delegation sent = delegation(settling);
        assertThat(
                codec.decode(
                    codec.encode(
                        new DelegationAnnouncement(sent, true, settling.isEmpty()), roster),
                    roster))
            .hasValue(new DelegationAnnouncement(sent, true, settling.isEmpty()));
      }
    }

    @Test
    void keepsTheRelaysOfALargeFleetInFewBytes() {
      List<Member> large = members("a", 300);
      Delegation sent =
          new Delegation(
              300,
              new Members(-1, List.of(large.get(7), large.get(299))),
              Set.of(large.get(7).id()));
      DelegationAnnouncement announcement = new DelegationAnnouncement(sent, true, false);
      byte[] bytes = codec.encode(announcement, large, true);
      assertThat(bytes.length).isAtMost(13);
      assertThat(codec.decode(bytes, large)).hasValue(announcement);
      for (int length = 0; length < bytes.length; length++) {
        codec.decode(Arrays.copyOf(bytes, length), large);
      }
    }

    @Test
    void keepsAnEmptyDelegation() {
      byte[] bytes =
          codec.encode(new DelegationAnnouncement(Delegation.NONE, false, false), roster);
      assertThat(codec.decode(bytes, roster))
          .hasValue(new DelegationAnnouncement(Delegation.NONE, false, false));
    }
  }

  @Nested
  class Decoding {
    // Guards against bitmap positions that denote different instances at sender and receiver.
    @Test
    void isEmptyForADifferentRoster() {
      byte[] bytes =
          codec.encode(new DelegationAnnouncement(delegation(Set.of()), true, false), roster);
      assertThat(codec.decode(bytes, members("a", INSTANCES + 1))).isEmpty();
      assertThat(codec.decode(bytes, members("b", INSTANCES))).isEmpty();
    }

    @Test
    void isEmptyForBytesOfAnotherLength() {
      for (int length : new int[] {0, 3, 7, 9, 30}) {
        assertThat(codec.decode(new byte[length], roster)).isEmpty();
      }
    }
  }
}
