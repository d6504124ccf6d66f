package org.bergamotcross.core.config;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.membership.Members;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests that are matched to the wrong route or pool. */
class RouteLookupTest {
  private static Route route(String name, Optional<String> host, String path) {
    return new Route(
        name,
        host,
        path,
        List.of(new WeightedPool(new PoolId("new"), 10), new WeightedPool(new PoolId("old"), 90)),
        Set.of(Route.ANY_METHOD),
        Set.of(),
        Set.of(),
        true,
        new Route.Limits(Duration.ofSeconds(1), 2, 1));
  }

  private static Optional<String> find(Optional<String> host, String path) {
    TeamSettings team =
        new TeamSettings(
            "team",
            List.of(),
            List.of(),
            List.of(),
            List.of(
                route("short", Optional.of("shop.example"), "/a/"),
                route("long", Optional.of("shop.example"), "/a/b/"),
                route("other", Optional.of("other.example"), "/a/b/"),
                route("segment", Optional.empty(), "/team/r")));
    return Configuration.of(1, Map.of("team", team), Set.of(), Members.NONE)
        .route(host, path)
        .map(Route::name);
  }

  @Nested
  class Prefixes {
    // Guards against a request that is sent to the pool of a more general route.
    @Test
    void theLongestPrefixOfTheHostIsChosen() {
      Optional<String> shop = Optional.of("shop.example");
      assertThat(find(shop, "/a/x")).hasValue("short");
      assertThat(find(shop, "/a/b/x/y")).hasValue("long");
      assertThat(find(shop, "/a/b/")).hasValue("long");
      assertThat(find(shop, "/a/bc")).hasValue("short");
      assertThat(find(Optional.of("other.example"), "/a/b/x")).hasValue("other");
    }

    // Guards against a prefix that matches a path segment by its first letters only.
    @Test
    void withATrailingSlashMatchOnlyPathsBelow() {
      assertThat(find(Optional.of("other.example"), "/a/b")).isEmpty();
      assertThat(find(Optional.of("shop.example"), "/ab/x")).isEmpty();
      assertThat(find(Optional.of("unknown.example"), "/a/x")).isEmpty();
    }

    // Guards against routes without a host that no longer match.
    @Test
    void withoutAHostMatchSegmentsForAllHosts() {
      assertThat(find(Optional.of("shop.example"), "/team/r/x")).hasValue("segment");
      assertThat(find(Optional.empty(), "/team/r")).hasValue("segment");
      assertThat(find(Optional.empty(), "/team/rx")).isEmpty();
    }
  }

  @Nested
  class Splits {
    // Guards against a traffic split that deviates from the weights.
    @Test
    void followTheWeights() {
      Route split = route("split", Optional.empty(), "/");
      int toNew = 0;
      for (int i = 0; i < 1_000; i++) {
        toNew += split.choosePool(i / 1_000.0).equals(new PoolId("new")) ? 1 : 0;
      }
      assertThat(toNew).isEqualTo(100);
    }
  }
}
