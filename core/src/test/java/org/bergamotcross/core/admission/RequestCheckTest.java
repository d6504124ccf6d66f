package org.bergamotcross.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bergamotcross.core.config.ApiKey;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Route;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that passes for the wrong organisation, after its deadline, or on an
 * unconfirmed configuration.
 */
class RequestCheckTest {
  private static final OrganisationId CUSTOMER = new OrganisationId("team/customer");
  private static final ClockReading NOW = ClockReading.ofMillis(1_000);
  private static final Configuration CONFIGURATION = configuration();

  @Nested
  class Freshness {
    @Test
    void isRequiredForEveryKey() {
      assertThat(refusal(Optional.empty(), "/team/r", "k")).isEqualTo("not-ready");
      assertThat(refusal(Optional.of(NOW), "/team/r", "k")).isEqualTo("stale-configuration");
      assertThat(refusal(Optional.of(NOW.plus(Duration.ofNanos(1))), "/team/r", "k")).isEmpty();
    }
  }

  @Nested
  class Paths {
    @Test
    void thatATargetMayResolveToAnotherRouteAreRefused() {
      for (String path :
          List.of(
              "/team/r/../s",
              "/team/r/%2E%2e/s",
              "/team/r/..%2Fs",
              "/team/r/..%5Cs",
              "/team/r/.")) {
        assertThat(refusal(fresh(), path, "k")).isEqualTo("no-route");
      }
      assertThat(refusal(fresh(), "/team/r/a..b/c.d/...", "k")).isEmpty();
    }
  }

  @Group
  @Nested
  class Deadlines {
    @Property(seed = "8101")
    void areTheSmallestLimitAfterArrival(
        @ForAll @IntRange(min = 1, max = 20_000) int caller,
        @ForAll @IntRange(min = 1, max = 20_000) int instance) {
      RequestCheck check = new RequestCheck(CONFIGURATION, fresh(), Duration.ofMillis(instance));
      RequestCheck.Result result =
          check.check(request("/team/r", List.of("k"), Duration.ofMillis(caller)), NOW);
      assertThat(((RequestCheck.Result.Passed) result).deadline())
          .isEqualTo(NOW.plus(Duration.ofMillis(Math.min(Math.min(caller, instance), 5_000))));
    }
  }

  private static Optional<ClockReading> fresh() {
    return Optional.of(NOW.plus(Duration.ofSeconds(1)));
  }

  private static String refusal(Optional<ClockReading> freshUntil, String path, String key) {
    RequestCheck check = new RequestCheck(CONFIGURATION, freshUntil, Duration.ofSeconds(30));
    return switch (check.check(request(path, List.of(key), Duration.ofSeconds(1)), NOW)) {
      case RequestCheck.Result.Passed ignored -> "";
      case RequestCheck.Result.Refused refused -> refused.refusal().code();
    };
  }

  private static RequestCheck.Request request(String path, List<String> keys, Duration timeout) {
    return new RequestCheck.Request("GET", Optional.empty(), path, keys, Optional.of(timeout), NOW);
  }

  private static Configuration configuration() {
    TeamSettings team =
        new TeamSettings(
            "team",
            List.of(new Organisation(CUSTOMER, 10, 10)),
            List.of(new ApiKey("key", CUSTOMER, KeyHash.of("k"))),
            List.of(),
            List.of(
                new Route(
                    "team/r",
                    "/team/r",
                    new PoolId("team/p"),
                    Set.of("GET"),
                    Set.of("GET"),
                    Set.of(),
                    Duration.ofSeconds(5))));
    return Configuration.of(1, Map.of("team", team), Set.of(), Members.NONE);
  }
}
