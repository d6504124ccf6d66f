package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.routing.FailureRisk;
import org.bergamotcross.core.routing.PoolPressure;
import org.bergamotcross.core.routing.PoolReport;
import org.bergamotcross.core.routing.ShedPolicy;
import org.bergamotcross.core.routing.UsualDuration;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.kernel.ClockReading;

/**
 * Applies the fair scheduling policy: decides which requests are sent while a pool has too little
 * room, and exchanges with the peers what the decision needs. Used only by the routing thread.
 *
 * <p>Reports are sent as sums by key, {@code <pool> <field>}, so that a relay can merge the
 * messages of several instances by adding.
 */
final class PoolScheduling {
  /** Shorter than the time after which {@link PoolPressure} forgets a report. */
  static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

  private static final OrganisationId NO_ORGANISATION = new OrganisationId("");
  private static final String RESPONSES = "responses";
  private static final String WAITED = "waited";
  private static final String WORK = "work-ms";
  private static final String REJECTIONS = "rejections";
  private static final String DEMAND_PREFIX = "demand-ms.";

  private final FailureRisk risks;
  private final ShedPolicy shedding;
  private final Map<PoolId, PoolPressure> pressures = new HashMap<>();
  private final Map<PoolId, PoolReport> reports = new HashMap<>();
  private final UsualDuration usual = new UsualDuration();
  private ClockReading reportedAt;

  PoolScheduling(FailureRisk risks, UniformRandomProvider random, ClockReading now) {
    this.risks = risks;
    this.shedding = new ShedPolicy(random);
    this.reportedAt = now;
  }

  /** Decides on a request that arrives. */
  ShedPolicy.Decision decide(AdmittedRequest admitted, Pool pool, ClockReading now) {
    String route = admitted.route().name();
    Duration usualDuration = usual.of(route).orElse(Duration.ZERO);
    PoolPressure pressure = pressure(pool, now);
    admitted
        .route()
        .limits()
        .latencyObjective()
        .ifPresent(objective -> pressure.recordSlack(route, objective.minus(usualDuration)));
    addToReport(
        pool.id(),
        new PoolReport(0, 0, 0, 0, Map.of(admitted.priority(), usualDuration.toMillis())));
    return shedding.decide(
        pressure.share(admitted.priority()),
        admitted.organisation().orElse(NO_ORGANISATION),
        admitted.priority(),
        admitted.deadline().since(now));
  }

  /** Records a response of a target. */
  void onResponse(AdmittedRequest admitted, Duration duration) {
    String route = admitted.route().name();
    usual.record(route, duration);
    Duration usualDuration = usual.of(route).orElse(duration);
    boolean waited =
        Optional.ofNullable(pressures.get(admitted.pool()))
            .filter(pressure -> pressure.isTooLong(duration.minus(usualDuration)))
            .isPresent();
    addToReport(
        admitted.pool(), new PoolReport(1, waited ? 1 : 0, usualDuration.toMillis(), 0, Map.of()));
  }

  /** Records a request that a target rejected. */
  void onRejection(PoolId pool) {
    addToReport(pool, new PoolReport(0, 0, 0, 1, Map.of()));
  }

  /** Returns whether a long duration in a pool says little about the target. */
  boolean isLimited(PoolId pool) {
    return Optional.ofNullable(pressures.get(pool)).filter(PoolPressure::isLimited).isPresent();
  }

  private void addToReport(PoolId pool, PoolReport part) {
    reports.merge(pool, part, PoolReport::plus);
  }

  private PoolPressure pressure(Pool pool, ClockReading now) {
    return pressures.computeIfAbsent(
        pool.id(), id -> new PoolPressure(pool.slots() * pool.targets().size(), now));
  }

  /** Applies and returns what this instance saw since its previous report, if it is due. */
  Map<String, Long> takeDueReport(Iterable<Pool> pools, ClockReading now) {
    if (now.since(reportedAt).compareTo(REPORT_INTERVAL) < 0) {
      return Map.of();
    }
    reportedAt = now;
    for (Pool pool : pools) {
      if (pressures.containsKey(pool.id())) {
        pressure(pool, now).updateSoundSlots(soundSlots(pool, now));
      }
    }
    Map<String, Long> message = encode(reports);
    reports.forEach((pool, report) -> applyReport(pool, report, now));
    reports.clear();
    return message;
  }

  private double soundSlots(Pool pool, ClockReading now) {
    return pool.slots()
        * pool.targets().stream().mapToDouble(target -> 1 - risks.risk(target.id(), now)).sum();
  }

  /** Applies the report of a peer. */
  void onPeerReport(Map<String, Long> message, ClockReading now) {
    decode(message).forEach((pool, report) -> applyReport(pool, report, now));
  }

  private void applyReport(PoolId pool, PoolReport report, ClockReading now) {
    Optional.ofNullable(pressures.get(pool)).ifPresent(pressure -> pressure.add(report, now));
  }

  /** Forgets pools that are no longer configured. */
  void retainPools(Collection<PoolId> pools) {
    pressures.keySet().retainAll(pools);
    reports.keySet().retainAll(pools);
  }

  /** Encodes reports as sums by key. */
  static Map<String, Long> encode(Map<PoolId, PoolReport> reports) {
    Map<String, Long> sums = new HashMap<>();
    reports.forEach(
        (pool, report) -> {
          put(sums, pool, RESPONSES, report.responses());
          put(sums, pool, WAITED, report.waited());
          put(sums, pool, WORK, report.workMillis());
          put(sums, pool, REJECTIONS, report.rejections());
          report
              .demandMillis()
              .forEach((priority, millis) -> put(sums, pool, DEMAND_PREFIX + priority, millis));
        });
    return sums;
  }

  private static void put(Map<String, Long> sums, PoolId pool, String field, long value) {
    if (value != 0) {
      sums.put(pool.value() + " " + field, value);
    }
  }

  /** Decodes sums by key; fields of newer builds are ignored. */
  static Map<PoolId, PoolReport> decode(Map<String, Long> sums) {
    Map<PoolId, PoolReport> decoded = new HashMap<>();
    sums.forEach(
        (key, value) -> {
          int space = key.lastIndexOf(' ');
          if (space > 0) {
            decoded.merge(
                new PoolId(key.substring(0, space)),
                part(key.substring(space + 1), value),
                PoolReport::plus);
          }
        });
    return decoded;
  }

  private static PoolReport part(String field, long value) {
    return switch (field) {
      case RESPONSES -> new PoolReport(value, 0, 0, 0, Map.of());
      case WAITED -> new PoolReport(0, value, 0, 0, Map.of());
      case WORK -> new PoolReport(0, 0, value, 0, Map.of());
      case REJECTIONS -> new PoolReport(0, 0, 0, value, Map.of());
      default ->
          field.matches(DEMAND_PREFIX.replace(".", "\\.") + "\\d{1,9}")
              ? new PoolReport(
                  0,
                  0,
                  0,
                  0,
                  Map.of(Integer.parseInt(field.substring(DEMAND_PREFIX.length())), value))
              : PoolReport.EMPTY;
    };
  }
}
