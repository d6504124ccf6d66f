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
final class FaultJudge {
  /** A lower rate would make a single failure of a good pool look large. */
  static final double LEAST_FAILURE_RATE = 0.02;

  /** Standard deviations above the pool's rate; the test is repeated many times a second. */
  static final double DEVIATIONS = 4.0;

  /** Makes three failures in a row the least that counts. */
  static final double LEAST_EXCESS = 1.5;

  /** While others get answers, two requests that take long are no fault of the path. */
  static final int LEAST_STALLS = 3;

  /** What the pool looks like apart from the target. */
  record Context(
      InstanceId self,
      FailureDomain ownDomain,
      boolean slowEverywhere,
      double otherFailureRate,
      Duration stallThreshold) {}

  private FaultJudge() {}

  static Verdict judge(List<Observation> seen, Now clean, Context context, Now now) {
    Verdict stall = judgeStall(seen, clean, context, now);
    if (stall instanceof Verdict.Fleet || stall instanceof Verdict.Path) {
      return stall;
    }
    Verdict failing = judgeFailures(seen, clean, context, now);
    return failing instanceof Verdict.Fine ? stall : failing;
  }

  private static Verdict judgeStall(List<Observation> seen, Now clean, Context context, Now now) {
    List<Observation> stalled = seen.stream().filter(o -> o.stalledSince(clean)).toList();
    if (stalled.isEmpty()) {
      return new Verdict.Fine();
    }
    if (context.slowEverywhere()) {
      return new Verdict.Everywhere();
    }
    List<Observation> others = seen.stream().filter(o -> !o.stalledSince(clean)).toList();
    Set<FailureDomain> certain =
        domains(stalled, observation -> !isContradictedAtHome(observation, stalled, others));
    Now latest = latestStall(stalled);
    boolean contradicted = others.stream().anyMatch(o -> o.contradicts(latest));
    HealthDecision.Evidence evidence =
        evidence(STALLED, stalled, seen, now.since(latest), clean, context);
    return verdict(stalled, certain, contradicted, evidence, context);
  }

  private static boolean isContradictedAtHome(
      Observation observation, List<Observation> stalled, List<Observation> others) {
    FailureDomain home = observation.failureDomain();
    Now latest = latestStall(stalled.stream().filter(o -> o.failureDomain().equals(home)).toList());
    return others.stream().anyMatch(o -> o.failureDomain().equals(home) && o.contradicts(latest));
  }

  private static Now latestStall(Collection<Observation> stalled) {
    return stalled.stream().flatMap(o -> o.stall().stream()).max(Now::compareTo).orElseThrow();
  }

  private static Verdict verdict(
      List<Observation> faulty,
      Set<FailureDomain> certain,
      boolean contradicted,
      HealthDecision.Evidence evidence,
      Context context) {
    if (certain.size() > 1 || (certain.size() == 1 && !contradicted)) {
      return new Verdict.Fleet(evidence);
    }
    List<Observation> atHome =
        faulty.stream().filter(o -> o.failureDomain().equals(context.ownDomain())).toList();
    boolean self = atHome.stream().anyMatch(o -> o.observer().equals(context.self()));
    int seen =
        atHome.stream().mapToInt(o -> evidence.kind() == STALLED ? o.stalls() : LEAST_STALLS).sum();
    boolean mine = seen >= LEAST_STALLS && (self || certain.contains(context.ownDomain()));
    return mine ? new Verdict.Path(evidence) : new Verdict.Elsewhere();
  }

  private static Verdict judgeFailures(
      List<Observation> seen, Now clean, Context context, Now now) {
    List<Observation> failing = seen.stream().filter(o -> o.failedSince(clean)).toList();
    if (failing.isEmpty() || !isTooMany(seen, clean, context)) {
      return new Verdict.Fine();
    }
    Set<FailureDomain> certain =
        domains(failing, observation -> isTooMany(home(seen, observation), clean, context));
    List<Observation> elsewhere =
        seen.stream().filter(o -> !certain.contains(o.failureDomain())).toList();
    boolean contradicted = certain.size() == 1 && isGood(elsewhere, clean, context);
    Now latest =
        failing.stream().flatMap(o -> o.failure().stream()).max(Now::compareTo).orElseThrow();
    HealthDecision.Evidence evidence =
        evidence(FaultKind.FAILING, failing, seen, now.since(latest), clean, context);
    if (certain.isEmpty()) {
      // No failure domain alone has enough of them, but all of them together have.
      return new Verdict.Fleet(evidence);
    }
    return verdict(failing, certain, contradicted, evidence, context);
  }

  private static List<Observation> home(List<Observation> seen, Observation observation) {
    return seen.stream()
        .filter(o -> o.failureDomain().equals(observation.failureDomain()))
        .toList();
  }

  private static boolean isTooMany(List<Observation> seen, Now clean, Context context) {
    double ends = ends(seen);
    double rate = Math.max(LEAST_FAILURE_RATE, context.otherFailureRate());
    double expected = ends * rate;
    double deviation = Math.sqrt(Math.max(0, expected * (1 - rate)));
    return failures(seen, clean) > expected + DEVIATIONS * deviation + LEAST_EXCESS;
  }

  private static boolean isGood(List<Observation> seen, Now clean, Context context) {
    double rate = Math.max(LEAST_FAILURE_RATE, context.otherFailureRate());
    double ends = ends(seen);
    return ends >= 1 && failures(seen, clean) <= ends * rate * 2;
  }

  static double failures(Collection<Observation> seen, Now clean) {
    return seen.stream().filter(o -> o.failedSince(clean)).mapToDouble(Observation::failures).sum();
  }

  static double ends(Collection<Observation> seen) {
    return seen.stream().mapToDouble(Observation::ends).sum();
  }

  private static Set<FailureDomain> domains(
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
        domains(faulty, o -> true).size(),
        age,
        failures(seen, clean),
        ends(seen),
        context.stallThreshold());
  }
}
