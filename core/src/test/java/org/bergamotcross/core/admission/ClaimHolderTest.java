package org.bergamotcross.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a holder that votes at another epoch or before it knows the earlier claims. */
class ClaimHolderTest {
  private static final ClockReading START = ClockReading.ofMillis(1000);
  private static final InstanceId A = new InstanceId("a");
  private static final InstanceId B = new InstanceId("b");

  private final OffsetQuorum quorum = new OffsetQuorum(A);
  private final ClaimHolder holder = new ClaimHolder(A, 1, quorum, 10, 100);

  private static Member member(InstanceId id) {
    return new Member(id, 1, new FailureDomain(id.value()), "");
  }

  private void configure(long offset, List<Member> members) {
    Organisation organisation = new Organisation(new OrganisationId("t/o"), 100, 50);
    TeamSettings team =
        new TeamSettings("t", List.of(organisation), List.of(), List.of(), List.of());
    Configuration configuration =
        Configuration.of(offset, Map.of("t", team), Set.of(), new Members(offset, members));
    quorum.configure(configuration);
    holder.configure(configuration, START);
    quorum.recordOffset(B, offset);
  }

  private ClaimVerdict ask(long epoch, String attempt) {
    ClaimRequest ask = new ClaimRequest("t/o", "key", epoch, attempt);
    return holder.onRequest(ask, START).toVerdict().orElseThrow();
  }

  @Nested
  class Epochs {
    @Test
    void otherThanTheCurrentOneGetNoVoteAndNoClaims() {
      holder.setFreshUntil(START.plus(Duration.ofSeconds(3)));
      configure(1, List.of(member(A)));
      assertThat(ask(0, "1")).isEqualTo(new ClaimVerdict.WrongEpoch());
      assertThat(ask(2, "1")).isEqualTo(new ClaimVerdict.WrongEpoch());
      assertThat(ask(1, "1")).isEqualTo(new ClaimVerdict.Granted());
      // At epoch 1 this holder can still grant claims, so a sync at epoch 2 would be incomplete.
      assertThat(holder.onSyncRequest(new ClaimSyncRequest("t/o", 2, 1, ""), START).isEmpty())
          .isTrue();
      assertThat(holder.onSyncRequest(new ClaimSyncRequest("t/o", 1, 1, ""), START).isPresent())
          .isTrue();
    }
  }

  @Nested
  class Started {
    @Test
    void withoutHistoryVotesOnlyAfterTheClaimWindow() {
      configure(7, List.of(member(A), member(B)));
      ClockReading until = START.plus(Duration.ofMinutes(20));
      holder.setFreshUntil(until);
      assertThat(ask(7, "1")).isEqualTo(new ClaimVerdict.NotReady());
      holder.tick(START);
      ClockReading settled = START.plus(Duration.ofSeconds(3));
      holder.tick(settled);
      holder.tick(settled.plus(Duration.ofMinutes(10)).plus(Duration.ofSeconds(-1)));
      assertThat(holder.isReady("t/o")).isFalse();
      holder.tick(settled.plus(Duration.ofMinutes(10)));
      assertThat(holder.isReady("t/o")).isTrue();
    }

    @Test
    void votesOnceItHasTheClaimsOfAHolderWithTheFullHistory() {
      configure(7, List.of(member(A), member(B)));
      holder.setFreshUntil(START.plus(Duration.ofSeconds(3)));
      OutboundMessage sent =
          holder.tick(START).stream().filter(message -> message.to().equals(B)).toList().get(0);
      ClaimSyncRequest sync = (ClaimSyncRequest) sent.message();
      HolderSet present =
          HolderSet.of(new Members(7, List.of(member(A), member(B))).holders("t/o"));
      List<ClaimSyncResponse.Entry> claims =
          List.of(new ClaimSyncResponse.Entry("key", "2", "granted", 0, Optional.empty()));
      holder.onSyncResponse(
          B,
          new ClaimSyncResponse(
              "t/o", 7, sync.round(), "", 1, true, List.of(present), claims, true),
          START);
      assertThat(holder.isReady("t/o")).isTrue();
      assertThat(ask(7, "1"))
          .isEqualTo(new ClaimVerdict.Exists(ClaimState.GRANTED, Optional.empty()));
    }
  }
}
