package org.bergamotcross.bench;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A workload and an injected fault.
 *
 * @param name the scenario name in reports
 * @param offeredLoad the offered load of the pool, in requests per second
 * @param durationSeconds the simulated duration in seconds
 * @param unevenLoad whether one instance receives 40 % of the requests and one request in ten takes
 *     ten times as long
 * @param lostDomain the failure domain whose instances fail with the fault, or -1 for none
 * @param fault the fault injector
 */
record Scenario(
    String name,
    ToDoubleFunction<Deployment> offeredLoad,
    int durationSeconds,
    boolean unevenLoad,
    int lostDomain,
    FaultInjector fault) {
  /** The start of the fault. */
  static final long FAULT_START_MICROS = 10_000_000;

  /** The mean service time of a request at a target, excluding queueing. */
  static final double MEAN_SERVICE_MICROS = 20_000;

  private static final AttemptEffect NORMAL = new AttemptEffect.Slowdown(1);
  private static final int FLAP_PHASE_MICROS = 3_000_000;

  /** Determines the effect of the fault on each attempt. */
  @FunctionalInterface
  interface FaultInjector {
    AttemptEffect effect(
        Deployment deployment, int instance, int target, long micros, UniformRandomProvider random);
  }

  AttemptEffect effect(
      Deployment deployment, int instance, int target, long micros, UniformRandomProvider random) {
    return micros < FAULT_START_MICROS
        ? NORMAL
        : fault.effect(deployment, instance, target, micros, random);
  }

  /** Returns whether the target is faulty for the instance, so that an ejection is correct. */
  boolean isFaulty(Deployment deployment, int instance, int target, long micros) {
    return micros >= FAULT_START_MICROS && isAffectedByFault(deployment, instance, target);
  }

  private boolean isAffectedByFault(Deployment deployment, int instance, int target) {
    return switch (name) {
      case "slow-everywhere", "uneven-healthy", "uneven-busy" -> false;
      case "path-fault" -> target == 0 && deployment.domainIndex(instance) == 0;
      case "domain-loss" -> deployment.domainIndex(target) == lostDomain;
      default -> target == 0;
    };
  }

  /** Returns how long a stalled attempt occupies its slot, from its arrival at the target. */
  long stallDurationMicros(long micros) {
    long untilRecovery = FLAP_PHASE_MICROS - (micros - FAULT_START_MICROS) % FLAP_PHASE_MICROS;
    return name.equals("flap") ? untilRecovery + (long) MEAN_SERVICE_MICROS : Long.MAX_VALUE / 4;
  }

  /** Returns the offered load that uses the given fraction of the pool capacity. */
  private static ToDoubleFunction<Deployment> loadAtUtilisation(double utilisation) {
    return deployment ->
        utilisation
            * deployment.targets()
            * Deployment.SLOTS_PER_TARGET
            * 1_000_000
            / MEAN_SERVICE_MICROS;
  }

  private static FaultInjector onFirstTarget(AttemptEffect effect) {
    return (deployment, instance, target, micros, random) -> target == 0 ? effect : NORMAL;
  }

  private static final FaultInjector FLAP =
      (deployment, instance, target, micros, random) ->
          target == 0 && (micros - FAULT_START_MICROS) / FLAP_PHASE_MICROS % 2 == 0
              ? new AttemptEffect.Stall()
              : NORMAL;

  private static final FaultInjector PATH_FAULT =
      (deployment, instance, target, micros, random) ->
          target == 0 && deployment.domainIndex(instance) == 0
              ? new AttemptEffect.MessageLoss()
              : NORMAL;

  private static final FaultInjector DOMAIN_LOSS =
      (deployment, instance, target, micros, random) ->
          deployment.domainIndex(target) == 0 ? new AttemptEffect.MessageLoss() : NORMAL;

  private static final FaultInjector ERROR_RESPONSES =
      (deployment, instance, target, micros, random) ->
          target == 0 && random.nextDouble() < 0.3 ? new AttemptEffect.ServerError() : NORMAL;

  private static final FaultInjector SLOW_EVERYWHERE =
      (deployment, instance, target, micros, random) -> new AttemptEffect.Slowdown(50);

  private static final FaultInjector NO_FAULT =
      (deployment, instance, target, micros, random) -> NORMAL;

  /** All scenarios. */
  static final List<Scenario> ALL =
      List.of(
          new Scenario(
              "stall-1rps", d -> 1, 60, false, -1, onFirstTarget(new AttemptEffect.Stall())),
          new Scenario(
              "stall-high",
              loadAtUtilisation(0.6),
              25,
              false,
              -1,
              onFirstTarget(new AttemptEffect.Stall())),
          new Scenario("flap", loadAtUtilisation(0.3), 60, false, -1, FLAP),
          new Scenario("errors-30", loadAtUtilisation(0.3), 30, false, -1, ERROR_RESPONSES),
          new Scenario(
              "slow-x5",
              loadAtUtilisation(0.3),
              30,
              false,
              -1,
              onFirstTarget(new AttemptEffect.Slowdown(5))),
          new Scenario("path-fault", loadAtUtilisation(0.3), 30, false, -1, PATH_FAULT),
          new Scenario("uneven-healthy", loadAtUtilisation(0.3), 40, true, -1, NO_FAULT),
          new Scenario("uneven-busy", loadAtUtilisation(0.5), 40, true, -1, NO_FAULT),
          new Scenario("slow-everywhere", d -> 10, 40, false, -1, SLOW_EVERYWHERE),
          new Scenario("domain-loss", loadAtUtilisation(0.5), 30, false, 0, DOMAIN_LOSS));
}
