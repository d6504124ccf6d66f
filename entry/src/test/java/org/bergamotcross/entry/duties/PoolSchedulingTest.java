package org.bergamotcross.entry.duties;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Route;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.routing.FailureRisk;
import org.bergamotcross.core.routing.PoolReport;
import org.bergamotcross.core.routing.ShedPolicy;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Verifies what instances tell each other about a pool with too little room. */
class PoolSchedulingTest {
  private static final PoolId POOL_ID = new PoolId("team/pool");
  private static final Pool POOL =
      new Pool(
          POOL_ID,
          0.5,
          2,
          List.of(new Target(new TargetId("t1"), "127.0.0.1", 9_000, new FailureDomain("d0"))));

  private static ClockReading at(long millis) {
    return ClockReading.ofMillis(1_000_000 + millis);
  }

  private static PoolScheduling create() {
    return new PoolScheduling(new FailureRisk(), RandomSource.XO_RO_SHI_RO_128_PP.create(3), at(0));
  }

  private static AdmittedRequest admitted(int priority) {
    Route route =
        new Route(
            "team/route",
            "/",
            POOL_ID,
            Set.of("GET"),
            Set.of("GET"),
            Set.of(),
            Duration.ofSeconds(2));
    return new AdmittedRequest(
        null,
        Optional.of(new OrganisationId("team/one")),
        Optional.empty(),
        POOL_ID,
        priority,
        route,
        true,
        false,
        at(60_000));
  }

  @Nested
  class Reports {
    private final Map<PoolId, PoolReport> reports =
        Map.of(POOL_ID, new PoolReport(4, 1, 900, 2, Map.of(0, 500L, 2, 700L)));

    @Test
    void areDecodedAsEncoded() {
      assertThat(PoolScheduling.decode(PoolScheduling.encode(reports))).isEqualTo(reports);
    }

    // Guards against a relay that merges messages by adding and changes what they say.
    @Test
    void canBeMergedByAdding() {
      Map<String, Long> merged = new HashMap<>(PoolScheduling.encode(reports));
      PoolScheduling.encode(reports).forEach((key, value) -> merged.merge(key, value, Long::sum));
      PoolReport report = reports.get(POOL_ID);
      assertThat(PoolScheduling.decode(merged)).containsExactly(POOL_ID, report.plus(report));
    }

    // Guards against a message of a newer build that stops the duty.
    @Test
    void ignoreUnknownFields() {
      Map<String, Long> message = Map.of("team/pool later.7", 3L, "odd", 1L);
      assertThat(PoolScheduling.decode(message)).containsExactly(POOL_ID, PoolReport.EMPTY);
    }
  }

  @Nested
  class Peers {
    // Guards against an instance without load of its own that serves a less urgent priority while
    // others refuse a more urgent one.
    @Test
    void makeAnIdleInstanceRefuseTheLessUrgent() {
      PoolScheduling scheduling = create();
      scheduling.decide(admitted(2), POOL, at(0));
      Map<PoolId, PoolReport> load =
          Map.of(POOL_ID, new PoolReport(3, 0, 300, 0, Map.of(0, 100L, 2, 300L)));
      for (int millis = 100; millis <= 3_000; millis += 100) {
        scheduling.onPeerReport(PoolScheduling.encode(load), at(millis));
      }
      Set<Class<?>> urgent = new HashSet<>();
      Set<Class<?>> other = new HashSet<>();
      for (int i = 0; i < 4; i++) {
        urgent.add(scheduling.decide(admitted(0), POOL, at(3_000)).getClass());
        other.add(scheduling.decide(admitted(2), POOL, at(3_000)).getClass());
      }
      assertThat(urgent).containsExactly(ShedPolicy.Decision.Send.class);
      assertThat(other).contains(ShedPolicy.Decision.Refuse.class);
    }

    // Guards against a pool that stays closed because the peers that reported its load are gone.
    @Test
    void areForgotten() {
      PoolScheduling scheduling = create();
      scheduling.decide(admitted(0), POOL, at(0));
      Map<String, Long> load =
          PoolScheduling.encode(Map.of(POOL_ID, new PoolReport(9, 0, 900, 0, Map.of(0, 9_000L))));
      scheduling.onPeerReport(load, at(100));
      for (int millis = 500; millis <= 8_000; millis += 500) {
        scheduling.decide(admitted(0), POOL, at(millis));
        scheduling.takeDueReport(List.of(POOL), at(millis));
      }
      for (int i = 0; i < 10; i++) {
        assertThat(scheduling.decide(admitted(0), POOL, at(8_000)))
            .isInstanceOf(ShedPolicy.Decision.Send.class);
      }
    }
  }
}
