package org.bergamotcross.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.Delegation;
import org.bergamotcross.core.membership.DelegationPlan;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against an instance that grants tokens without a valid lease or admits without a token.
 *
 * <p>Drives one instance with its messages and clock; fleets are tested in the entry module.
 */
class DelegatingRateLimiterTest {
  private static final Organisation LIMIT = new Organisation(new OrganisationId("o"), 100, 100);
  private static final Member SELF = member("a");
  private static final Member PEER = member("b");
  private static final int LEASE_MS = (int) DelegationPlan.LEASE_DURATION.toMillis();
  private static final ClockReading DEADLINE = ClockReading.ofMillis(1_000_000);

  private final DelegatingRateLimiter rates =
      new DelegatingRateLimiter(SELF.id(), 10, RateTolerance.NONE);

  private static Member member(String id) {
    return new Member(new InstanceId(id), 1, new FailureDomain("d-" + id), "host-" + id);
  }

  private static Delegation to(Member... candidates) {
    return new Delegation(2, new Members(-1, List.of(candidates)), Set.of());
  }

  @BeforeEach
  void configure() {
    TeamSettings team = new TeamSettings("team", List.of(LIMIT), List.of(), List.of(), List.of());
    rates.configure(
        Configuration.of(1, Map.of("team", team), Set.of(), Members.NONE),
        ClockReading.ofMillis(0));
    rates.setPeerView(new PeerView(Set.of(PEER.id())));
  }

  private int granted(int at) {
    rates.onMessage(PEER.id(), new BucketRequest(at, "o", 1_000), ClockReading.ofMillis(at));
    return rates.step(ClockReading.ofMillis(at)).messages().stream()
        .mapToInt(message -> ((BucketGrant) message.message()).amount())
        .sum();
  }

  private RateDecision arrive(String request, int at) {
    return rates.tryAdmit(request, LIMIT, DEADLINE, ClockReading.ofMillis(at));
  }

  @Nested
  class Holders {
    @Test
    void grantTokensOfTheFractionsDelegatedToThem() {
      rates.setOwnDelegation(to(SELF), ClockReading.ofMillis(0));
      assertThat(granted(500)).isEqualTo(25);
      rates.onDelegation(PEER, to(SELF), ClockReading.ofMillis(600), ClockReading.ofMillis(600));
      assertThat(granted(1_100)).isEqualTo(5 + 50);
    }

    // A holder must stop with its lease, because other instances treat the lease as ended.
    @Test
    void grantNothingAfterALeaseHasExpired() {
      rates.onDelegation(PEER, to(SELF), ClockReading.ofMillis(0), ClockReading.ofMillis(10));
      rates.onDelegation(
          PEER, to(SELF), ClockReading.ofMillis(0), ClockReading.ofMillis(LEASE_MS - 1));
      assertThat(granted(LEASE_MS - 1)).isGreaterThan(0);
      assertThat(granted(LEASE_MS)).isEqualTo(0);
    }

    @Test
    void grantNothingFromTheDelegationOfARestartedProcess() {
      rates.onDelegation(PEER, to(SELF), ClockReading.ofMillis(0), ClockReading.ofMillis(0));
      rates.onPeerRestart(PEER.id(), ClockReading.ofMillis(1_000));
      assertThat(granted(1_000)).isEqualTo(0);
    }

    // The monotonic clock stops while a machine is suspended, so its leases seem to last longer.
    @Test
    void grantNothingAfterASuspension() {
      rates.onDelegation(PEER, to(SELF), ClockReading.ofMillis(0), ClockReading.ofMillis(0));
      rates.step(new ClockReading(1_000_000_000, 9_000));
      rates.onDelegation(
          PEER, to(SELF), ClockReading.ofMillis(900), new ClockReading(1_100_000_000, 9_100));
      rates.onMessage(
          PEER.id(), new BucketRequest(1, "o", 10), new ClockReading(2_000_000_000, 10_000));
      RateLimiterOutput step = rates.step(new ClockReading(2_000_000_000, 10_000));
      assertThat(((BucketGrant) step.messages().getFirst().message()).amount()).isEqualTo(0);
    }
  }

  @Nested
  class Requests {
    @Test
    void takeATokenFromTheLocalBucketWithoutWaiting() {
      rates.setOwnDelegation(to(SELF), ClockReading.ofMillis(0));
      assertThat(arrive("r", 500))
          .isEqualTo(new RateDecision.Admitted(new TokenOrigin.Bucket(SELF.id())));
    }

    @Test
    void areAdmittedByTheGrantOfAHolder() {
      rates.setOwnDelegation(to(PEER), ClockReading.ofMillis(0));
      assertThat(arrive("r", 0)).isEqualTo(new RateDecision.Queued());
      BucketRequest ask =
          (BucketRequest) rates.step(ClockReading.ofMillis(0)).messages().getFirst().message();
      rates.onMessage(
          PEER.id(), new BucketGrant(ask.number(), "o", 1, 0), ClockReading.ofMillis(3));
      assertThat(rates.step(ClockReading.ofMillis(3)).completedWaits())
          .containsExactly(
              new RateLimiterOutput.CompletedWait(
                  "r", new RateDecision.Admitted(new TokenOrigin.Bucket(PEER.id()))));
    }

    // A grant that is read after a pause is void, because the holder no longer counts its tokens.
    @Test
    void areNotAdmittedByALateGrant() {
      rates.setOwnDelegation(to(PEER), ClockReading.ofMillis(0));
      arrive("r", 0);
      BucketRequest ask =
          (BucketRequest) rates.step(ClockReading.ofMillis(0)).messages().getFirst().message();
      int late = (int) DelegatingRateLimiter.RESPONSE_TIMEOUT.toMillis();
      rates.onMessage(
          PEER.id(), new BucketGrant(ask.number(), "o", 1, 0), ClockReading.ofMillis(late));
      assertThat(rates.step(ClockReading.ofMillis(late)).completedWaits()).isEmpty();
    }

    @Test
    void beyondTheRateAreRefusedImmediatelyExceptOne() {
      rates.setOwnDelegation(to(PEER), ClockReading.ofMillis(0));
      arrive("r1", 0);
      arrive("r2", 0);
      BucketRequest ask =
          (BucketRequest) rates.step(ClockReading.ofMillis(0)).messages().getFirst().message();
      rates.onMessage(
          PEER.id(), new BucketGrant(ask.number(), "o", 0, 100), ClockReading.ofMillis(3));
      List<RateLimiterOutput.CompletedWait> ended =
          rates.step(ClockReading.ofMillis(3)).completedWaits();
      assertThat(ended.stream().map(RateLimiterOutput.CompletedWait::requestId))
          .containsExactly("r2");
    }

    @Test
    void ofUnlimitedOrganisationsAreAdmittedImmediately() {
      Organisation unlimited =
          new Organisation(
              new OrganisationId("u"),
              Double.POSITIVE_INFINITY,
              Double.POSITIVE_INFINITY,
              Optional.empty());
      assertThat(rates.tryAdmit("r", unlimited, DEADLINE, ClockReading.ofMillis(0)))
          .isEqualTo(new RateDecision.Admitted(new TokenOrigin.Unlimited()));
    }
  }
}
