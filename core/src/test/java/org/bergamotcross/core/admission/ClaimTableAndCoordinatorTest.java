package org.bergamotcross.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against claims that are lost, granted twice, or acted on after the deadline. */
class ClaimTableAndCoordinatorTest {
  private static final ClockReading START = ClockReading.ofMillis(1000);
  private static final OrganisationId ORGANISATION = new OrganisationId("t/o");

  private final ClaimTable table = new ClaimTable(2, 100);

  private ClaimVerdict claim(String key, String attempt, ClockReading now) {
    return table.claim(new ClaimRequest("t/o", key, 1, attempt), now);
  }

  private void end(String key, String attempt, ClaimState state, int bytes, ClockReading now) {
    StoredResponse answer = new StoredResponse(200, "", new byte[bytes]);
    table.recordOutcome(
        new ClaimOutcome("t/o", key, attempt, state.wireName(), Optional.of(answer)), state, now);
  }

  private static ClaimVerdict exists(ClaimState state) {
    return new ClaimVerdict.Exists(state, Optional.empty());
  }

  @Nested
  class Table {
    @Test
    void keepsAClaimTenMinutesAfterItsLastChange() {
      assertThat(claim("k", "1", START)).isEqualTo(new ClaimVerdict.Granted());
      ClockReading ended = START.plus(Duration.ofMinutes(1));
      end("k", "1", ClaimState.UNKNOWN, 200, ended);
      ClockReading last = ended.plus(Duration.ofMinutes(10)).plus(Duration.ofMillis(-1));
      table.expire(last);
      assertThat(claim("k", "2", last)).isEqualTo(exists(ClaimState.UNKNOWN));
      assertThat(claim("k", "2", ended.plus(Duration.ofMinutes(10))))
          .isEqualTo(new ClaimVerdict.Granted());
    }

    @Test
    void refusesAClaimWhenItIsFullAndEvictsNone() {
      claim("k1", "1", START);
      claim("k2", "2", START);
      assertThat(claim("k3", "3", START)).isEqualTo(new ClaimVerdict.Full());
      assertThat(claim("k1", "4", START)).isEqualTo(exists(ClaimState.GRANTED));
    }

    @Test
    void storesResponsesOnlyWithinItsByteLimit() {
      claim("k1", "1", START);
      claim("k2", "2", START);
      end("k1", "1", ClaimState.RUN, 80, START);
      end("k2", "2", ClaimState.RUN, 80, START);
      assertThat(((ClaimVerdict.Exists) claim("k1", "3", START)).answer()).isPresent();
      assertThat(claim("k2", "3", START)).isEqualTo(exists(ClaimState.RUN));
    }

    @Test
    void refusesALateRequestOfAReleasedAttempt() {
      end("k", "1", ClaimState.RELEASED, 200, START);
      assertThat(claim("k", "1", START)).isEqualTo(exists(ClaimState.RELEASED));
      assertThat(claim("k", "2", START)).isEqualTo(new ClaimVerdict.Granted());
      assertThat(claim("k", "1", START)).isEqualTo(exists(ClaimState.GRANTED));
    }

    @Test
    void grantsNoAttemptAgainAfterAnotherHolderGrantedADifferentOne() {
      claim("k", "1", START);
      ClaimSyncResponse.Entry other =
          new ClaimSyncResponse.Entry("k", "2", "granted", 0, Optional.empty());
      assertThat(table.merge("t/o", other, ClaimState.GRANTED, START)).isTrue();
      assertThat(claim("k", "1", START)).isEqualTo(exists(ClaimState.UNKNOWN));
      assertThat(claim("k", "2", START)).isEqualTo(exists(ClaimState.UNKNOWN));
    }

    @Test
    void doesNotGrantAMergedAttemptAgain() {
      ClaimSyncResponse.Entry other =
          new ClaimSyncResponse.Entry("k", "2", "granted", 0, Optional.empty());
      table.merge("t/o", other, ClaimState.GRANTED, START);
      assertThat(claim("k", "2", START)).isEqualTo(exists(ClaimState.GRANTED));
    }
  }

  @Nested
  class Coordinator {
    private final ClockReading deadline = START.plus(Duration.ofSeconds(2));
    private final ClaimCoordinator coordinator =
        new ClaimCoordinator("1", ORGANISATION, "key", deadline, START);

    private Members members(long epoch) {
      List<Member> list =
          List.of("a", "b", "c").stream()
              .map(id -> new Member(new InstanceId(id), 1, new FailureDomain(id), ""))
              .toList();
      return new Members(epoch, list);
    }

    private void answer(String holder, long epoch, ClaimVerdict verdict) {
      ClaimRequest ask = new ClaimRequest("t/o", ClaimRequest.key(ORGANISATION, "key"), epoch, "1");
      coordinator.onResponse(new InstanceId(holder), ClaimResponse.of(ask, verdict));
    }

    @Test
    void doesNotSendAfterAPausePastTheDeadline() {
      coordinator.dueRequests(members(1), START);
      answer("a", 1, new ClaimVerdict.Granted());
      answer("b", 1, new ClaimVerdict.Granted());
      assertThat(coordinator.decide(true, deadline))
          .hasValue(new ClaimDecision.Refuse(new Refusal.DeadlineBeforeSend()));
    }

    @Test
    void doesNotSendWhileNotFresh() {
      coordinator.dueRequests(members(1), START);
      answer("a", 1, new ClaimVerdict.Granted());
      answer("b", 1, new ClaimVerdict.Granted());
      assertThat(coordinator.decide(false, START)).isEmpty();
      assertThat(coordinator.decide(true, START)).hasValue(new ClaimDecision.Send());
      assertThat(coordinator.decide(true, START)).isEmpty();
    }

    @Test
    void doesNotCountGrantsOfTwoEpochsTogether() {
      coordinator.dueRequests(members(1), START);
      answer("a", 1, new ClaimVerdict.Granted());
      coordinator.dueRequests(members(2), START);
      answer("b", 2, new ClaimVerdict.Granted());
      answer("c", 1, new ClaimVerdict.Granted());
      assertThat(coordinator.decide(true, START)).isEmpty();
    }

    @Test
    void reportsUnknownWhenOneHolderKnowsAnotherAttempt() {
      coordinator.dueRequests(members(1), START);
      answer("a", 1, exists(ClaimState.GRANTED));
      answer("b", 1, new ClaimVerdict.Granted());
      answer("c", 1, new ClaimVerdict.NotReady());
      assertThat(coordinator.decide(true, deadline))
          .hasValue(new ClaimDecision.Refuse(new Refusal.AlreadyClaimed(ExecutionOutcome.UNKNOWN)));
    }
  }
}
