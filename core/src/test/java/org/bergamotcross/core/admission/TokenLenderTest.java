package org.bergamotcross.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
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

/** Guards against a bucket that serves while another instance can still serve the same part. */
class TokenLenderTest {
  private static final InstanceId SELF = new InstanceId("a");
  private static final ClockReading START = ClockReading.ofMillis(1000);

  private final OffsetQuorum quorum = new OffsetQuorum(SELF);
  private final TokenLender holder = new TokenLender(SELF, 1, quorum);

  private static Configuration configuration(long offset, boolean known, long incarnation) {
    Organisation organisation = new Organisation(new OrganisationId("t/o"), 100, 50);
    List<Organisation> all = known ? List.of(organisation) : List.of();
    TeamSettings team = new TeamSettings("t", all, List.of(), List.of(), List.of());
    Member member = new Member(SELF, incarnation, new FailureDomain("d"), "");
    return Configuration.of(offset, Map.of("t", team), Set.of(), new Members(1, List.of(member)));
  }

  private void configure(Configuration configuration, ClockReading now) {
    quorum.configure(configuration);
    assertThat(holder.configure(configuration, now)).isEmpty();
    assertThat(holder.tick(now)).isEmpty();
  }

  private double granted(ClockReading now) {
    assertThat(holder.tick(now)).isEmpty();
    TokenRequest ask = new TokenRequest(9, now.monotonicNanos(), "t/o", 5, 5, false, 0, List.of());
    return ((TokenGrant) holder.onRequest(new InstanceId("b"), ask, now).getFirst().message())
        .amount();
  }

  @Nested
  class Gained {
    @Test
    void partServesOnlyAfterThePredecessorsLastGrantsExpire() {
      configure(configuration(5, true, 1), START);
      holder.setFreshUntil(START.plus(Duration.ofMinutes(1)));
      ClockReading stopped = START.plus(Duration.ofSeconds(3));
      ClockReading ready = stopped.plus(TokenBucket.LOAN_VALIDITY);
      assertThat(granted(stopped)).isEqualTo(0.0);
      assertThat(granted(ready.plus(Duration.ofMillis(-1)))).isEqualTo(0.0);
      assertThat(granted(ready)).isEqualTo(0.0);
      assertThat(granted(ready.plus(Duration.ofMillis(30)))).isEqualTo(3.0);
    }

    @Test
    void newOrganisationIsServedImmediately() {
      holder.setFreshUntil(START.plus(Duration.ofMinutes(1)));
      configure(configuration(5, false, 1), START);
      ClockReading later = START.plus(Duration.ofSeconds(10));
      assertThat(holder.tick(later)).isEmpty();
      configure(configuration(6, true, 1), later);
      assertThat(granted(later.plus(Duration.ofMillis(30)))).isEqualTo(3.0);
    }
  }

  @Nested
  class MissedRecords {
    // Two membership records cancel out: another instance may have held the part in between.
    @Test
    void makeASeeminglyUnchangedPartSettleAgain() {
      configure(configuration(5, true, 1), START);
      holder.setFreshUntil(START.plus(Duration.ofMinutes(1)));
      assertThat(holder.tick(START)).isEmpty();
      ClockReading later = START.plus(Duration.ofSeconds(10));
      assertThat(granted(later.plus(Duration.ofMillis(100)))).isEqualTo(0.0);
      assertThat(granted(later.plus(Duration.ofMillis(200)))).isEqualTo(5.0);
      Configuration same = configuration(9, true, 1);
      Members moved = new Members(9, same.members().list());
      configure(
          Configuration.of(9, same.teams(), Set.of(), moved), later.plus(Duration.ofMillis(300)));
      assertThat(granted(later.plus(Duration.ofSeconds(1)))).isEqualTo(0.0);
    }
  }

  @Nested
  class Handovers {
    // A holder that has not settled yet does not know what its predecessor has granted.
    @Test
    void areNotSentByAHolderThatDoesNotServeYet() {
      configure(configuration(5, true, 1), START);
      holder.setFreshUntil(START.plus(Duration.ofMinutes(1)));
      Configuration before = configuration(6, true, 1);
      Member other = new Member(new InstanceId("z"), 1, new FailureDomain("d"), "");
      Configuration after =
          Configuration.of(6, before.teams(), Set.of(), new Members(6, List.of(other)));
      assertThat(holder.configure(after, START)).isEmpty();
    }
  }

  @Nested
  class OtherProcess {
    @Test
    void doesNotServeAsItsPredecessorWithTheSameId() {
      configure(configuration(5, true, 2), START);
      holder.setFreshUntil(START.plus(Duration.ofMinutes(1)));
      assertThat(granted(START.plus(Duration.ofSeconds(20)))).isEqualTo(0.0);
      assertThat(granted(START.plus(Duration.ofSeconds(21)))).isEqualTo(0.0);
    }
  }

  @Nested
  class NotFresh {
    @Test
    void grantsNothing() {
      holder.setFreshUntil(START.plus(Duration.ofSeconds(10)));
      configure(configuration(5, true, 1), START);
      assertThat(holder.tick(START.plus(Duration.ofSeconds(9)))).isEmpty();
      assertThat(granted(START.plus(Duration.ofMillis(9_900)))).isEqualTo(5.0);
      assertThat(granted(START.plus(Duration.ofSeconds(10)))).isEqualTo(0.0);
    }
  }

  @Nested
  class Resized {
    @Test
    void bucketKeepsItsLevel() {
      TokenBucket bucket = new TokenBucket(10, 10, START);
      bucket.resize(10, 100, START);
      assertThat(bucket.level()).isEqualTo(0.0);
    }

    @Test
    void bucketDoesNotRefillWhileItsTokensAreOutstanding() {
      TokenBucket bucket = new TokenBucket(10, 10, START);
      ClockReading full = START.plus(Duration.ofSeconds(1));
      TokenRequest ask = new TokenRequest(1, 1, "t/o", 10, 10, false, 0, List.of());
      TokenBucket.LoanKey key = new TokenBucket.LoanKey(SELF, 1, 1);
      assertThat(bucket.grant(key, ask, full)).isEqualTo(10.0);
      // The loan expires 1250 ms later; the bucket refills only from then on.
      bucket.refill(full.plus(Duration.ofMillis(1350)));
      assertThat(bucket.level()).isWithin(1e-6).of(1.0);
    }
  }
}
