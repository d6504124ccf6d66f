package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.ClockReading;

/**
 * Tracks the health of the targets of one pool from the view of one instance, and decides on their
 * ejection and readmission.
 *
 * <p>Evidence comes from the requests of this instance and from the reports of peers. Each method
 * that changes the state returns the resulting decisions.
 *
 * <pre>{@code
 * health.onAttemptStarted("r-1.1", target, now);
 * health.tick(now.plus(Duration.ofMillis(450))); // ejects the target if there was no response
 * }</pre>
 */
public final class PoolHealth {
  /** The time in which peers can contradict an ejection; they answer evidence within a few ms. */
  static final Duration PEER_CONTRADICTION_WINDOW = Duration.ofMillis(100);

  /**
   * The time in which an ejection can be reversed without a trial request. It ends before the first
   * trial, so that a successful trial starts a ramp-up.
   */
  static final Duration EJECTION_REVIEW_PERIOD = Duration.ofMillis(900);

  /** The time after which all instances know of an ejection and send only trial requests. */
  static final Duration EJECTION_PROPAGATION_TIME = Duration.ofMillis(200);

  /** Older evidence does not show whether the whole pool is slow now. */
  static final Duration MAX_EVIDENCE_AGE = Duration.ofSeconds(10);

  /**
   * The minimum interval between events about an ejection of the same target that the floor
   * prevents.
   */
  static final Duration REFUSAL_LOG_INTERVAL = Duration.ofSeconds(10);

  /** Covers the time in which the routing duty may still use the old configuration. */
  private static final Duration REMOVED_TARGET_RETENTION = Duration.ofSeconds(60);

  /**
   * A longer gap between ticks is a pause of this process, after which responses that have already
   * arrived are still unread.
   */
  static final Duration PROCESS_PAUSE_THRESHOLD = Duration.ofMillis(300);

  private static final double MIN_REPORTED_FAILURES = 0.1;

  private record ReportVersion(long incarnation, long sequence) {}

  private final InstanceId self;
  private final long incarnation;
  private final FailureDomain ownDomain;
  private final Map<TargetId, TargetHealth> targets = new LinkedHashMap<>();
  private final Map<TargetId, ClockReading> removedAt = new HashMap<>();
  private final Map<TargetId, ClockReading> refusalLoggedAt = new HashMap<>();
  private final Map<TargetId, ClockReading> suspectedAt = new HashMap<>();
  private final Map<InstanceId, ReportVersion> lastReports = new HashMap<>();
  private final PoolLatency latency = new PoolLatency();
  private Pool pool;
  private long sequence;
  private boolean reportUrgent;
  private boolean wasFaultSuspected;
  private ClockReading lastTick;

  /**
   * Creates the health of a pool whose targets are all presumed healthy and warmed up.
   *
   * @param self this instance
   * @param incarnation its incarnation
   * @param ownDomain the failure domain of this instance
   * @param pool the pool
   * @param now the current time
   */
  public PoolHealth(
      InstanceId self, long incarnation, FailureDomain ownDomain, Pool pool, ClockReading now) {
    this.self = self;
    this.incarnation = incarnation;
    this.ownDomain = ownDomain;
    this.pool = pool;
    this.lastTick = now;
    for (Target target : pool.targets()) {
      targets.put(target.id(), new TargetHealth(self, ownDomain, target, false, now));
    }
  }

  /**
   * Applies a changed configuration of the pool: new targets ramp up and removed ones get no more
   * requests.
   *
   * @param changed the changed pool
   * @param now the current time
   * @return the decisions
   */
  public List<HealthDecision> configure(Pool changed, ClockReading now) {
    Map<TargetId, TargetHealth> previous = new HashMap<>(targets);
    targets.clear();
    pool = changed;
    for (Target target : changed.targets()) {
      TargetHealth existing = previous.remove(target.id());
      boolean isUnchanged = existing != null && existing.target().equals(target);
      targets.put(
          target.id(),
          isUnchanged ? existing : new TargetHealth(self, ownDomain, target, true, now));
      removedAt.remove(target.id());
    }
    previous.keySet().forEach(id -> removedAt.put(id, now));
    return finishUpdate(new ArrayList<>(), now);
  }

  /**
   * Applies the directory's list of draining targets.
   *
   * @param draining the targets that are listed as draining
   * @param now the current time
   * @return the decisions
   */
  public List<HealthDecision> updateDrainingTargets(Set<TargetId> draining, ClockReading now) {
    List<HealthDecision> decisions = new ArrayList<>();
    targets.forEach(
        (id, target) -> target.updateListing(draining.contains(id), now, decisions::add));
    return finishUpdate(decisions, now);
  }

  /**
   * Records that an attempt was sent.
   *
   * @param attempt the id of the attempt, unique
   * @param target the target
   * @param now the current time
   * @return the decisions
   */
  public List<HealthDecision> onAttemptStarted(String attempt, TargetId target, ClockReading now) {
    List<HealthDecision> decisions = new ArrayList<>(0);
    TargetHealth health = targets.get(target);
    if (health != null) {
      health.onAttemptStarted(attempt, now, decisions::add);
    }
    return finishUpdate(decisions, now);
  }

  /**
   * Records that the head of a response arrived, after which the attempt cannot count as stalled.
   *
   * @param attempt the attempt
   * @param target the target
   */
  public void onResponseHead(String attempt, TargetId target) {
    TargetHealth health = targets.get(target);
    if (health != null) {
      health.onResponseHead(attempt);
    }
  }

  /**
   * Records the end of an attempt.
   *
   * @param attempt the attempt
   * @param target the target
   * @param result how it ended
   * @param timeToHead the time from sending to the head of the response
   * @param now the current time
   * @return the decisions
   */
  public List<HealthDecision> onAttemptEnded(
      String attempt, TargetId target, SendResult result, Duration timeToHead, ClockReading now) {
    List<HealthDecision> decisions = new ArrayList<>(0);
    TargetHealth health = targets.get(target);
    if (health != null) {
      health.onAttemptEnded(
          attempt, result, timeToHead, latency.stallThreshold(), now, decisions::add);
    }
    return finishUpdate(decisions, now);
  }

  /**
   * Applies the health report of a peer; a stale report is ignored.
   *
   * @param report the report
   * @param now the time at which it arrived
   * @return the decisions
   */
  public List<HealthDecision> onPeerReport(PoolHealthReport report, ClockReading now) {
    List<HealthDecision> decisions = new ArrayList<>();
    ReportVersion lastVersion = lastReports.get(report.observer());
    boolean isStale =
        lastVersion != null
            && lastVersion.incarnation() == report.incarnation()
            && lastVersion.sequence() >= report.sequence();
    if (isStale || report.observer().equals(self)) {
      return decisions;
    }
    lastReports.put(report.observer(), new ReportVersion(report.incarnation(), report.sequence()));
    latency.onPeerReport(report.observer(), report.baselineLatency(), now);
    for (TargetEvidence evidence : report.targets()) {
      TargetHealth health = targets.get(evidence.target());
      if (health != null) {
        health.onPeerReport(report, evidence, now, decisions::add);
      }
    }
    return finishUpdate(decisions, now);
  }

  /**
   * Evaluates the evidence and applies the state changes that are due; called every 50 ms.
   *
   * @param now the current time
   * @return the decisions
   */
  public List<HealthDecision> tick(ClockReading now) {
    List<HealthDecision> decisions = new ArrayList<>(0);
    Duration sinceTick = now.since(lastTick);
    if (sinceTick.compareTo(PROCESS_PAUSE_THRESHOLD) > 0) {
      targets.values().forEach(target -> target.own().excludePause(sinceTick, now));
    }
    lastTick = now;
    latency.update(targets.values().stream().map(TargetHealth::own).toList(), now);
    for (TargetHealth target : targets.values()) {
      boolean stalled = target.ownObservation(now).hasStallAfter(target.evidenceStart());
      target.onTick(latency.stallThreshold(), now, decisions::add);
      reportUrgent |= !stalled && target.ownObservation(now).hasStallAfter(target.evidenceStart());
      reportUrgent |= target.hasUnreportedContradiction();
    }
    boolean faultSuspected = isFaultSuspected(now);
    if (faultSuspected) {
      evaluateTargets(decisions, now);
    }
    // To assess a suspicion, peers need to know what works from here.
    reportUrgent |= faultSuspected && !wasFaultSuspected;
    wasFaultSuspected = faultSuspected;
    return finishUpdate(decisions, now);
  }

  /**
   * Returns the status of all targets that are not healthy.
   *
   * @param now the current time
   * @return the status by target
   */
  public Map<TargetId, TargetStatus> statuses(ClockReading now) {
    removedAt.values().removeIf(at -> now.since(at).compareTo(REMOVED_TARGET_RETENTION) > 0);
    Map<TargetId, TargetStatus> statuses = new HashMap<>();
    removedAt
        .keySet()
        .forEach(
            id -> statuses.put(id, new TargetStatus.Unavailable(TargetStatus.Reason.DRAINING)));
    targets.forEach(
        (id, target) -> {
          if (!target.isHealthy()) {
            statuses.put(id, target.status(now));
          }
        });
    return statuses;
  }

  /**
   * Returns the mean number of requests of this instance in flight since the last call.
   *
   * @param interval the time since the last call
   * @param now the current time
   * @return the means by target, without those below 0.01
   */
  public Map<TargetId, Double> takeAverageInFlight(Duration interval, ClockReading now) {
    Map<TargetId, Double> averages = new HashMap<>();
    targets.forEach(
        (id, target) -> {
          double average = target.own().takeAverageInFlight(now, interval);
          // Requests that are lost on the path occupy no slot of the target.
          if (average >= 0.01 && !target.hasPathFault()) {
            averages.put(id, average);
          }
        });
    return averages;
  }

  /**
   * Returns the current stall threshold.
   *
   * @return at least 400 ms and four times the baseline latency of the pool, or 600 ms until that
   *     is known
   */
  public Duration stallThreshold() {
    return latency.stallThreshold();
  }

  /**
   * Returns the pool.
   *
   * @return the current configuration of the pool
   */
  public Pool pool() {
    return pool;
  }

  /**
   * Returns whether a report must be sent immediately, and clears the flag.
   *
   * @return whether a target became suspect, a peer must be contradicted, a trial request started
   *     or ended, or a target started to drain
   */
  public boolean takeReportUrgency() {
    boolean result = reportUrgent;
    reportUrgent = false;
    return result;
  }

  /**
   * Builds the health report for peers.
   *
   * @param now the current time
   * @return the report, or empty while no instance suspects a fault
   */
  public Optional<PoolHealthReport> report(ClockReading now) {
    if (!isFaultSuspected(now)) {
      return Optional.empty();
    }
    List<TargetEvidence> evidence =
        targets.values().stream().flatMap(t -> evidence(t, now).stream()).toList();
    targets.values().forEach(TargetHealth::markReported);
    return Optional.of(
        new PoolHealthReport(
            self, incarnation, ownDomain, sequence++, pool.id(), latency.ownBaseline(), evidence));
  }

  private static Optional<TargetEvidence> evidence(TargetHealth target, ClockReading now) {
    Observation observation = target.ownObservation(now);
    Optional<Duration> stallAge =
        observation.hasStallAfter(target.evidenceStart())
            ? observation.stallStart().map(now::since)
            : Optional.empty();
    Optional<Duration> successAge =
        observation
            .successStart()
            .map(now::since)
            .filter(age -> age.compareTo(MAX_EVIDENCE_AGE) < 0);
    boolean hasNoEvidence =
        stallAge.isEmpty()
            && successAge.isEmpty()
            && observation.failures() < MIN_REPORTED_FAILURES
            && target.isHealthy();
    return hasNoEvidence
        ? Optional.empty()
        : Optional.of(
            new TargetEvidence(
                target.target().id(),
                stallAge,
                successAge,
                observation.progressAt().map(now::since),
                observation.slowSince().map(now::since),
                observation.failureStart().map(now::since),
                observation.failures(),
                observation.outcomes(),
                target.trialStartedAt().map(now::since),
                target.backoffLevel(),
                target.isDraining(now)));
  }

  private boolean isFaultSuspected(ClockReading now) {
    for (TargetHealth target : targets.values()) {
      if (!target.isHealthy()) {
        return true;
      }
      for (Observation observation : target.observations(now)) {
        if (observation.hasStallAfter(target.evidenceStart())
            || observation.failures() > MIN_REPORTED_FAILURES) {
          return true;
        }
      }
    }
    return false;
  }

  private void evaluateTargets(List<HealthDecision> decisions, ClockReading now) {
    Map<TargetHealth, List<Observation>> observationsByTarget = new LinkedHashMap<>();
    targets.values().forEach(target -> observationsByTarget.put(target, target.observations(now)));
    boolean poolWideSlowdown = isPoolWideSlowdown(observationsByTarget, now);
    Map<TargetHealth, HealthVerdict> verdicts = new LinkedHashMap<>();
    observationsByTarget.forEach(
        (target, observations) -> {
          FaultDetector.Context context =
              new FaultDetector.Context(
                  self,
                  ownDomain,
                  poolWideSlowdown,
                  failureRateOfOthers(observationsByTarget, target),
                  latency.stallThreshold());
          verdicts.put(
              target, FaultDetector.evaluate(observations, target.evidenceStart(), context, now));
        });
    verdicts.forEach(
        (target, verdict) ->
            applyVerdict(target, verdict, observationsByTarget.get(target), decisions, now));
  }

  /**
   * Returns whether more targets are slow than have completed requests since the first became slow.
   */
  private static boolean isPoolWideSlowdown(
      Map<TargetHealth, List<Observation>> observationsByTarget, ClockReading now) {
    ClockReading first = now;
    int slowCount = 0;
    for (List<Observation> observations : observationsByTarget.values()) {
      Optional<ClockReading> since = slowSince(observations, now);
      slowCount += since.isPresent() ? 1 : 0;
      first = since.filter(first::isAfter).orElse(first);
    }
    if (slowCount < 2) {
      return false;
    }
    int workingCount = 0;
    for (List<Observation> observations : observationsByTarget.values()) {
      ClockReading since = first;
      boolean isWorking = observations.stream().anyMatch(o -> o.contradictsStallAt(since));
      workingCount += isWorking && slowSince(observations, now).isEmpty() ? 1 : 0;
    }
    return slowCount > workingCount;
  }

  /**
   * Returns the start of the recent stall of a target, or of a slow request that may become one.
   */
  private static Optional<ClockReading> slowSince(
      Collection<Observation> observations, ClockReading now) {
    return latestRecentStall(observations, now)
        .or(
            () ->
                observations.stream()
                    .flatMap(o -> o.slowSince().stream())
                    .filter(start -> now.since(start).compareTo(MAX_EVIDENCE_AGE) < 0)
                    .filter(
                        start -> observations.stream().noneMatch(o -> o.contradictsStallAt(start)))
                    .max(ClockReading::compareTo));
  }

  private static Optional<ClockReading> latestRecentStall(
      Collection<Observation> observations, ClockReading now) {
    ClockReading oldestRelevant = now.plus(MAX_EVIDENCE_AGE.negated());
    return observations.stream()
        .filter(o -> o.hasStallAfter(oldestRelevant))
        .flatMap(o -> o.stallStart().stream())
        .max(ClockReading::compareTo);
  }

  private static double failureRateOfOthers(
      Map<TargetHealth, List<Observation>> observationsByTarget, TargetHealth target) {
    double failures = 0;
    double outcomes = 0;
    for (Map.Entry<TargetHealth, List<Observation>> entry : observationsByTarget.entrySet()) {
      if (entry.getKey() != target) {
        failures += FaultDetector.sumFailures(entry.getValue(), entry.getKey().evidenceStart());
        outcomes += FaultDetector.sumOutcomes(entry.getValue());
      }
    }
    return outcomes > 0 ? Math.min(1, failures / outcomes) : 0;
  }

  private void applyVerdict(
      TargetHealth target,
      HealthVerdict verdict,
      List<Observation> observations,
      List<HealthDecision> decisions,
      ClockReading now) {
    switch (target.state()) {
      case TargetState.Healthy ignored -> applyToAvailable(target, verdict, decisions, now);
      case TargetState.Ramping ignored -> applyToAvailable(target, verdict, decisions, now);
      case TargetState.Ejected ejected ->
          applyToEjected(target, ejected, verdict, observations, decisions, now);
      case TargetState.OnTrial ignored -> {}
      case TargetState.Draining ignored -> {}
    }
  }

  private void applyToAvailable(
      TargetHealth target,
      HealthVerdict verdict,
      List<HealthDecision> decisions,
      ClockReading now) {
    switch (verdict) {
      case HealthVerdict.TargetFault fleet -> {
        if (isContradictionWindowOver(target, now)) {
          eject(target, TargetStatus.Reason.EJECTED, fleet.evidence(), decisions, now);
        }
      }
      case HealthVerdict.PathFault path ->
          eject(target, TargetStatus.Reason.PATH_FAULT, path.evidence(), decisions, now);
      case HealthVerdict.NoFault ignored -> suspectedAt.remove(target.target().id());
      case HealthVerdict.RemotePathFault ignored -> suspectedAt.remove(target.target().id());
      case HealthVerdict.PoolWideSlowdown ignored -> suspectedAt.remove(target.target().id());
    }
  }

  private static boolean hasOwnEvidence(TargetHealth target, ClockReading now) {
    Observation observation = target.ownObservation(now);
    return observation.hasStallAfter(target.evidenceStart())
        || observation.hasFailureAfter(target.evidenceStart());
  }

  private boolean isContradictionWindowOver(TargetHealth target, ClockReading now) {
    ClockReading first = suspectedAt.computeIfAbsent(target.target().id(), id -> now);
    return now.since(first).compareTo(PEER_CONTRADICTION_WINDOW) >= 0;
  }

  private void eject(
      TargetHealth target,
      TargetStatus.Reason reason,
      HealthDecision.Evidence evidence,
      List<HealthDecision> decisions,
      ClockReading now) {
    TargetId id = target.target().id();
    int remaining =
        (int) targets.values().stream().filter(t -> t != target && t.isHealthy()).count();
    if (remaining < pool.minInUseTargets()) {
      ClockReading lastLogged = refusalLoggedAt.get(id);
      if (lastLogged == null || now.since(lastLogged).compareTo(REFUSAL_LOG_INTERVAL) >= 0) {
        refusalLoggedAt.put(id, now);
        decisions.add(
            new HealthDecision.EjectionRefused(id, evidence, remaining, pool.minInUseTargets()));
      }
      return;
    }
    suspectedAt.remove(id);
    Duration nextTrialIn = target.eject(reason, evidence.kind(), now);
    decisions.add(
        reason == TargetStatus.Reason.PATH_FAULT
            ? new HealthDecision.PathFault(id, evidence, remaining)
            : new HealthDecision.Ejected(id, evidence, remaining, nextTrialIn));
  }

  private void applyToEjected(
      TargetHealth target,
      TargetState.Ejected ejected,
      HealthVerdict verdict,
      List<Observation> observations,
      List<HealthDecision> decisions,
      ClockReading now) {
    if (ejected.kind() == FaultKind.RETURNING) {
      return;
    }
    if (now.since(ejected.ejectedAt()).compareTo(EJECTION_REVIEW_PERIOD) < 0) {
      reviewEjection(target, ejected, verdict, decisions, now);
    } else if (ejected.reason() == TargetStatus.Reason.EJECTED) {
      applyPeerTrials(target, ejected, observations, decisions, now);
    }
  }

  private void reviewEjection(
      TargetHealth target,
      TargetState.Ejected ejected,
      HealthVerdict verdict,
      List<HealthDecision> decisions,
      ClockReading now) {
    switch (verdict) {
      case HealthVerdict.RemotePathFault ignored ->
          target.reinstate(HealthDecision.Cause.CONTRADICTED, now, decisions::add);
      case HealthVerdict.PoolWideSlowdown ignored ->
          target.reinstate(HealthDecision.Cause.SLOW_EVERYWHERE, now, decisions::add);
      case HealthVerdict.PathFault path when ejected.reason() == TargetStatus.Reason.EJECTED ->
          reclassifyAsPathFault(target, path.evidence(), decisions);
      case HealthVerdict.PathFault ignored -> {}
      case HealthVerdict.TargetFault ignored -> {}
      // The target was briefly busy or paused; after the next ejection a trial request decides.
      case HealthVerdict.NoFault ignored when target.backoffLevel() == 1 ->
          target.reinstate(HealthDecision.Cause.RECOVERED, now, decisions::add);
      case HealthVerdict.NoFault ignored -> {}
    }
  }

  private void reclassifyAsPathFault(
      TargetHealth target, HealthDecision.Evidence evidence, List<HealthDecision> decisions) {
    target.reclassifyAsPathFault();
    decisions.add(
        new HealthDecision.PathFault(target.target().id(), evidence, healthyTargetCount()));
  }

  /**
   * Readmits a target after a successful trial request of a peer, unless the own path is faulty.
   */
  private void applyPeerTrials(
      TargetHealth target,
      TargetState.Ejected ejected,
      List<Observation> observations,
      List<HealthDecision> decisions,
      ClockReading now) {
    ClockReading after = ejected.ejectedAt().plus(EJECTION_PROPAGATION_TIME);
    boolean hasOwnEvidence = hasOwnEvidence(target, now);
    List<Observation> succeeded =
        observations.stream()
            .filter(o -> !o.observer().equals(self) && o.hasSuccessAfter(after))
            .toList();
    if (succeeded.isEmpty()) {
      return;
    }
    if (!hasOwnEvidence || succeeded.stream().anyMatch(o -> o.failureDomain().equals(ownDomain))) {
      target.startRampUp(HealthDecision.Cause.PEER_TRIAL, now, decisions::add);
    } else {
      target.reclassifyAsPathFault();
    }
  }

  /** Returns the number of targets that are ejected because of evidence. */
  int ejectedTargetCount() {
    return (int) targets.values().stream().filter(TargetHealth::isEjected).count();
  }

  int healthyTargetCount() {
    return (int) targets.values().stream().filter(TargetHealth::isHealthy).count();
  }

  /**
   * Completes each update: restores the floor and marks decisions that peers must learn
   * immediately.
   */
  private List<HealthDecision> finishUpdate(List<HealthDecision> decisions, ClockReading now) {
    while (healthyTargetCount() < pool.minInUseTargets()) {
      Optional<TargetHealth> leastSevere =
          targets.values().stream()
              .filter(TargetHealth::isEjected)
              .min(
                  Comparator.comparing(
                      (TargetHealth t) -> t.ejection().orElseThrow().kind(),
                      Comparator.reverseOrder()));
      if (leastSevere.isEmpty()) {
        break;
      }
      leastSevere.get().reinstate(HealthDecision.Cause.FLOOR, now, decisions::add);
    }
    reportUrgent |= decisions.stream().anyMatch(PoolHealth::isUrgentForPeers);
    return decisions;
  }

  private static boolean isUrgentForPeers(HealthDecision decision) {
    return switch (decision) {
      case HealthDecision.TrialStarted ignored -> true;
      case HealthDecision.TrialFailed ignored -> true;
      case HealthDecision.DrainingStarted ignored -> true;
      // The evidence was reported when the target became suspect.
      case HealthDecision.Ejected ignored -> false;
      case HealthDecision.PathFault ignored -> false;
      case HealthDecision.Readmitted readmitted -> readmitted.cause() == HealthDecision.Cause.TRIAL;
      case HealthDecision.EjectionRefused ignored -> false;
    };
  }

  /**
   * Returns the id of the pool.
   *
   * @return the id
   */
  public PoolId poolId() {
    return pool.id();
  }
}
