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
import org.bergamotcross.kernel.Now;

/** Weighs the evidence of all observers of one target; a pure function of its arguments. */
final class FaultDetector {
  /** A lower rate would make a single failure of a good pool look large. */
  static final double MIN_FAILURE_RATE = 0.02;

  /** Standard deviations above the pool's rate; the test is repeated many times a second. */
  static final double FAILURE_DEVIATIONS = 4.0;

  /** Makes three failures in a row the least that counts. */
  static final double MIN_EXCESS_FAILURES = 1.5;

  /** While others get answers, two requests that take long are no fault of the path. */
  static final int MIN_PATH_STALLS = 3;

  /** What the pool looks like apart from the target. */
  record Context(
      InstanceId self,
      FailureDomain ownDomain,
      boolean poolWideSlowdown,
      double failureRateOfOthers,
      Duration stallThreshold) {}

  private FaultDetector() {}

  static HealthVerdict evaluate(List<Observation> seen, Now clean, Context context, Now now) {
    HealthVerdict stall = evaluateStalls(seen, clean, context, now);
    if (stall instanceof HealthVerdict.TargetFault || stall instanceof HealthVerdict.PathFault) {
      return stall;
    }
    HealthVerdict failing = evaluateFailures(seen, clean, context, now);
    return failing instanceof HealthVerdict.NoFault ? stall : failing;
  }

  private static HealthVerdict evaluateStalls(
      List<Observation> seen, Now clean, Context context, Now now) {
    List<Observation> stalled = seen.stream().filter(o -> o.hasStallAfter(clean)).toList();
    if (stalled.isEmpty()) {
      return new HealthVerdict.NoFault();
    }
    if (context.poolWideSlowdown()) {
      return new HealthVerdict.PoolWideSlowdown();
    }
    List<Observation> others = seen.stream().filter(o -> !o.hasStallAfter(clean)).toList();
    Set<FailureDomain> certain =
        failureDomains(
            stalled, observation -> !isContradictedInSameDomain(observation, stalled, others));
    Now latest = latestStallStart(stalled);
    boolean contradicted = others.stream().anyMatch(o -> o.contradictsStallAt(latest));
    HealthDecision.Evidence evidence =
        evidence(STALLED, stalled, seen, now.since(latest), clean, context);
    return locateFault(stalled, certain, contradicted, evidence, context);
  }

  private static boolean isContradictedInSameDomain(
      Observation observation, List<Observation> stalled, List<Observation> others) {
    FailureDomain home = observation.failureDomain();
    Now latest =
        latestStallStart(stalled.stream().filter(o -> o.failureDomain().equals(home)).toList());
    return others.stream()
        .anyMatch(o -> o.failureDomain().equals(home) && o.contradictsStallAt(latest));
  }

  private static Now latestStallStart(Collection<Observation> stalled) {
    return stalled.stream().flatMap(o -> o.stallStart().stream()).max(Now::compareTo).orElseThrow();
  }

  private static HealthVerdict locateFault(
      List<Observation> faulty,
      Set<FailureDomain> certain,
      boolean contradicted,
      HealthDecision.Evidence evidence,
      Context context) {
    if (certain.size() > 1 || (certain.size() == 1 && !contradicted)) {
      return new HealthVerdict.TargetFault(evidence);
    }
    List<Observation> atHome =
        faulty.stream().filter(o -> o.failureDomain().equals(context.ownDomain())).toList();
    boolean self = atHome.stream().anyMatch(o -> o.observer().equals(context.self()));
    int seen =
        atHome.stream()
            .mapToInt(o -> evidence.kind() == STALLED ? o.stallCount() : MIN_PATH_STALLS)
            .sum();
    boolean mine = seen >= MIN_PATH_STALLS && (self || certain.contains(context.ownDomain()));
    return mine ? new HealthVerdict.PathFault(evidence) : new HealthVerdict.RemotePathFault();
  }

  private static HealthVerdict evaluateFailures(
      List<Observation> seen, Now clean, Context context, Now now) {
    List<Observation> failing = seen.stream().filter(o -> o.hasFailureAfter(clean)).toList();
    if (failing.isEmpty() || !isFailureRateHigh(seen, clean, context)) {
      return new HealthVerdict.NoFault();
    }
    Set<FailureDomain> certain =
        failureDomains(
            failing,
            observation ->
                isFailureRateHigh(observationsInSameDomain(seen, observation), clean, context));
    List<Observation> elsewhere =
        seen.stream().filter(o -> !certain.contains(o.failureDomain())).toList();
    boolean contradicted = certain.size() == 1 && isFailureRateNormal(elsewhere, clean, context);
    Now latest =
        failing.stream().flatMap(o -> o.failureStart().stream()).max(Now::compareTo).orElseThrow();
    HealthDecision.Evidence evidence =
        evidence(FaultKind.FAILING, failing, seen, now.since(latest), clean, context);
    if (certain.isEmpty()) {
      // No failure domain alone has enough of them, but all of them together have.
      return new HealthVerdict.TargetFault(evidence);
    }
    return locateFault(failing, certain, contradicted, evidence, context);
  }

  private static List<Observation> observationsInSameDomain(
      List<Observation> seen, Observation observation) {
    return seen.stream()
        .filter(o -> o.failureDomain().equals(observation.failureDomain()))
        .toList();
  }

  private static boolean isFailureRateHigh(List<Observation> seen, Now clean, Context context) {
    double ends = sumOutcomes(seen);
    double rate = Math.max(MIN_FAILURE_RATE, context.failureRateOfOthers());
    double expected = ends * rate;
    double deviation = Math.sqrt(Math.max(0, expected * (1 - rate)));
    return sumFailures(seen, clean)
        > expected + FAILURE_DEVIATIONS * deviation + MIN_EXCESS_FAILURES;
  }

  private static boolean isFailureRateNormal(List<Observation> seen, Now clean, Context context) {
    double rate = Math.max(MIN_FAILURE_RATE, context.failureRateOfOthers());
    double ends = sumOutcomes(seen);
    return ends >= 1 && sumFailures(seen, clean) <= ends * rate * 2;
  }

  static double sumFailures(Collection<Observation> seen, Now clean) {
    return seen.stream()
        .filter(o -> o.hasFailureAfter(clean))
        .mapToDouble(Observation::failures)
        .sum();
  }

  static double sumOutcomes(Collection<Observation> seen) {
    return seen.stream().mapToDouble(Observation::outcomes).sum();
  }

  private static Set<FailureDomain> failureDomains(
      List<Observation> seen, Predicate<Observation> condition) {
    return seen.stream()
        .filter(condition)
        .map(Observation::failureDomain)
        .collect(Collectors.toSet());
  }

  private static HealthDecision.Evidence evidence(
      FaultKind kind,
      List<Observation> faulty,
      List<Observation> seen,
      Duration age,
      Now clean,
      Context context) {
    return new HealthDecision.Evidence(
        kind,
        faulty.size(),
        failureDomains(faulty, o -> true).size(),
        age,
        sumFailures(seen, clean),
        sumOutcomes(seen),
        context.stallThreshold());
  }
}
