package org.bergamotcross.core.routing;

import static org.bergamotcross.core.routing.FaultKind.STALLED;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.ClockReading;

/**
 * Detects a fault of one target from the evidence of all observers; a pure function of its
 * arguments.
 */
final class FaultDetector {
  /** With a lower rate, a single failure in a healthy pool would stand out. */
  static final double MIN_FAILURE_RATE = 0.02;

  /**
   * Standard deviations above the failure rate of the pool; large, because the test is repeated
   * many times a second.
   */
  static final double FAILURE_DEVIATIONS = 4.0;

  /** Together with the deviations, requires at least three consecutive failures. */
  static final double MIN_EXCESS_FAILURES = 1.5;

  /** While others get responses, two slow requests are no evidence of a path fault. */
  static final int MIN_PATH_STALLS = 3;

  /** The observing instance and the state of the pool apart from the target. */
  record Context(
      InstanceId self,
      FailureDomain ownDomain,
      boolean poolWideSlowdown,
      double failureRateOfOthers,
      Duration stallThreshold) {}

  private FaultDetector() {}

  /**
   * Returns the verdict on stalls if it is a fault that affects this instance, otherwise the
   * verdict on failures, if there are too many.
   */
  static HealthVerdict evaluate(
      List<Observation> observations,
      ClockReading evidenceStart,
      Context context,
      ClockReading now) {
    HealthVerdict stall = evaluateStalls(observations, evidenceStart, context, now);
    if (stall instanceof HealthVerdict.TargetFault || stall instanceof HealthVerdict.PathFault) {
      return stall;
    }
    HealthVerdict failing = evaluateFailures(observations, evidenceStart, context, now);
    return failing instanceof HealthVerdict.NoFault ? stall : failing;
  }

  private static HealthVerdict evaluateStalls(
      List<Observation> observations,
      ClockReading evidenceStart,
      Context context,
      ClockReading now) {
    List<Observation> stalled =
        observations.stream().filter(o -> o.hasStallAfter(evidenceStart)).toList();
    if (stalled.isEmpty()) {
      return new HealthVerdict.NoFault();
    }
    if (context.poolWideSlowdown()) {
      return new HealthVerdict.PoolWideSlowdown();
    }
    List<Observation> others =
        observations.stream().filter(o -> !o.hasStallAfter(evidenceStart)).toList();
    Set<FailureDomain> confirmingDomains =
        failureDomains(
            stalled, observation -> !isContradictedInSameDomain(observation, stalled, others));
    ClockReading latest = latestStallStart(stalled);
    boolean contradicted = others.stream().anyMatch(o -> o.contradictsStallAt(latest));
    HealthDecision.Evidence evidence =
        evidence(STALLED, stalled, observations, now.since(latest), evidenceStart, context);
    return locateFault(stalled, confirmingDomains, contradicted, evidence, context);
  }

  private static boolean isContradictedInSameDomain(
      Observation observation, List<Observation> stalled, List<Observation> others) {
    FailureDomain domain = observation.failureDomain();
    ClockReading latest =
        latestStallStart(stalled.stream().filter(o -> o.failureDomain().equals(domain)).toList());
    return others.stream()
        .anyMatch(o -> o.failureDomain().equals(domain) && o.contradictsStallAt(latest));
  }

  private static ClockReading latestStallStart(Collection<Observation> stalled) {
    return stalled.stream()
        .flatMap(o -> o.stallStart().stream())
        .max(ClockReading::compareTo)
        .orElseThrow();
  }

  private static HealthVerdict locateFault(
      List<Observation> faulty,
      Set<FailureDomain> confirmingDomains,
      boolean contradicted,
      HealthDecision.Evidence evidence,
      Context context) {
    if (confirmingDomains.size() > 1 || (confirmingDomains.size() == 1 && !contradicted)) {
      return new HealthVerdict.TargetFault(evidence);
    }
    List<Observation> inOwnDomain =
        faulty.stream().filter(o -> o.failureDomain().equals(context.ownDomain())).toList();
    boolean isSelfAffected =
        inOwnDomain.stream().anyMatch(o -> o.observer().equals(context.self()));
    int stallCount =
        inOwnDomain.stream()
            .mapToInt(o -> evidence.kind() == STALLED ? o.stallCount() : MIN_PATH_STALLS)
            .sum();
    boolean isOwnPathFaulty =
        stallCount >= MIN_PATH_STALLS
            && (isSelfAffected || confirmingDomains.contains(context.ownDomain()));
    return isOwnPathFaulty
        ? new HealthVerdict.PathFault(evidence)
        : new HealthVerdict.RemotePathFault();
  }

  private static HealthVerdict evaluateFailures(
      List<Observation> observations,
      ClockReading evidenceStart,
      Context context,
      ClockReading now) {
    List<Observation> failing =
        observations.stream().filter(o -> o.hasFailureAfter(evidenceStart)).toList();
    if (failing.isEmpty() || !isFailureRateHigh(observations, evidenceStart, context)) {
      return new HealthVerdict.NoFault();
    }
    Set<FailureDomain> confirmingDomains =
        failureDomains(
            failing,
            observation ->
                isFailureRateHigh(
                    observationsInSameDomain(observations, observation), evidenceStart, context));
    List<Observation> elsewhere =
        observations.stream().filter(o -> !confirmingDomains.contains(o.failureDomain())).toList();
    boolean contradicted =
        confirmingDomains.size() == 1 && isFailureRateNormal(elsewhere, evidenceStart, context);
    ClockReading latest =
        failing.stream()
            .flatMap(o -> o.failureStart().stream())
            .max(ClockReading::compareTo)
            .orElseThrow();
    HealthDecision.Evidence evidence =
        evidence(
            FaultKind.FAILING, failing, observations, now.since(latest), evidenceStart, context);
    if (confirmingDomains.isEmpty()) {
      // The failure rate is high over all failure domains, though not in any single one.
      return new HealthVerdict.TargetFault(evidence);
    }
    return locateFault(failing, confirmingDomains, contradicted, evidence, context);
  }

  private static List<Observation> observationsInSameDomain(
      List<Observation> observations, Observation observation) {
    return observations.stream()
        .filter(o -> o.failureDomain().equals(observation.failureDomain()))
        .toList();
  }

  private static boolean isFailureRateHigh(
      List<Observation> observations, ClockReading evidenceStart, Context context) {
    double outcomes = sumOutcomes(observations);
    double rate = Math.max(MIN_FAILURE_RATE, context.failureRateOfOthers());
    double expected = outcomes * rate;
    double deviation = Math.sqrt(Math.max(0, expected * (1 - rate)));
    return sumFailures(observations, evidenceStart)
        > expected + FAILURE_DEVIATIONS * deviation + MIN_EXCESS_FAILURES;
  }

  private static boolean isFailureRateNormal(
      List<Observation> observations, ClockReading evidenceStart, Context context) {
    double rate = Math.max(MIN_FAILURE_RATE, context.failureRateOfOthers());
    double outcomes = sumOutcomes(observations);
    return outcomes >= 1 && sumFailures(observations, evidenceStart) <= outcomes * rate * 2;
  }

  static double sumFailures(Collection<Observation> observations, ClockReading evidenceStart) {
    return observations.stream()
        .filter(o -> o.hasFailureAfter(evidenceStart))
        .mapToDouble(Observation::failures)
        .sum();
  }

  static double sumOutcomes(Collection<Observation> observations) {
    return observations.stream().mapToDouble(Observation::outcomes).sum();
  }

  private static Set<FailureDomain> failureDomains(
      List<Observation> observations, Predicate<Observation> condition) {
    return observations.stream()
        .filter(condition)
        .map(Observation::failureDomain)
        .collect(Collectors.toSet());
  }

  private static HealthDecision.Evidence evidence(
      FaultKind kind,
      List<Observation> faulty,
      List<Observation> observations,
      Duration age,
      ClockReading evidenceStart,
      Context context) {
    return new HealthDecision.Evidence(
        kind,
        faulty.size(),
        failureDomains(faulty, o -> true).size(),
        age,
        sumFailures(observations, evidenceStart),
        sumOutcomes(observations),
        context.stallThreshold());
  }
}
