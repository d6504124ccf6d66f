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
import org.bergamotcross.kernel.Now;

/**
 * The health of the targets of one pool as one instance sees it.
 *
 * <p>Evidence comes from the requests of this instance and from the reports of peers. Each method
 * that changes anything returns the decisions that it led to.
 *
 * <pre>{@code
 * health.started("r-1.1", target, now);
 * health.tick(now.plus(Duration.ofMillis(450))); // ejects the target when nothing came back
 * }</pre>
 */
public final class PoolHealth {
  /** Time for peers to contradict; the evidence of one instance is answered within a few ms. */
  static final Duration PEER_CONTRADICTION_WINDOW = Duration.ofMillis(100);

  /** Ends before the first trial, so that a trial that succeeds leads to a ramp. */
  static final Duration EJECTION_REVIEW_PERIOD = Duration.ofMillis(900);

  /** The time after which all instances know of an ejection and only trials are sent. */
  static final Duration EJECTION_PROPAGATION_TIME = Duration.ofMillis(200);

  /** Older stalls say nothing about whether the whole pool is slow now. */
  static final Duration MAX_EVIDENCE_AGE = Duration.ofSeconds(10);

  /** The least time between two lines about the same ejection that the floor prevents. */
  static final Duration REFUSAL_LOG_INTERVAL = Duration.ofSeconds(10);

  /** The routing duty may still use the old configuration for a moment. */
  private static final Duration REMOVED_TARGET_RETENTION = Duration.ofSeconds(60);

  /** After a pause of this process, answers that have arrived are still to be read. */
  static final Duration PROCESS_PAUSE_THRESHOLD = Duration.ofMillis(300);

  private static final double MIN_REPORTED_FAILURES = 0.1;

  private record ReportVersion(long incarnation, long sequence) {}

  private final InstanceId self;
  private final long incarnation;
  private final FailureDomain ownDomain;
  private final Map<TargetId, TargetHealth> targets = new LinkedHashMap<>();
  private final Map<TargetId, Now> removedAt = new HashMap<>();
  private final Map<TargetId, Now> refusalLoggedAt = new HashMap<>();
  private final Map<TargetId, Now> suspectedAt = new HashMap<>();
  private final Map<InstanceId, ReportVersion> lastReports = new HashMap<>();
  private final PoolLatency latency = new PoolLatency();
  private Pool pool;
  private long sequence;
  private boolean reportUrgent;
  private boolean wasFaultSuspected;
  private Now lastTick;

  /**
   * Creates the health of a pool whose targets are all taken to be healthy and warm.
   *
   * @param self the own instance
   * @param incarnation its incarnation
   * @param ownDomain the own failure domain
   * @param pool the pool
   * @param now the present time
   */
  public PoolHealth(
      InstanceId self, long incarnation, FailureDomain ownDomain, Pool pool, Now now) {
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
   * Takes over a changed pool; new targets are cold and removed ones get no more work.
   *
   * @param changed the pool
   * @param now the present time
   * @return the decisions
   */
  public List<HealthDecision> configure(Pool changed, Now now) {
    Map<TargetId, TargetHealth> before = new HashMap<>(targets);
    targets.clear();
    pool = changed;
    for (Target target : changed.targets()) {
      TargetHealth known = before.remove(target.id());
      boolean same = known != null && known.target().equals(target);
      targets.put(target.id(), same ? known : new TargetHealth(self, ownDomain, target, true, now));
      removedAt.remove(target.id());
    }
    before.keySet().forEach(id -> removedAt.put(id, now));
    return finishUpdate(new ArrayList<>(), now);
  }

  /**
   * Takes over the list of leaving targets.
   *
   * @param leaving the targets that the list shows as leaving
   * @param now the present time
   * @return the decisions
   */
  public List<HealthDecision> updateDrainingTargets(Set<TargetId> leaving, Now now) {
    List<HealthDecision> decisions = new ArrayList<>();
    targets.forEach(
        (id, target) -> target.updateListing(leaving.contains(id), now, decisions::add));
    return finishUpdate(decisions, now);
  }

  /**
   * Notes an attempt that was sent.
   *
   * @param attempt the attempt, unique
   * @param target the target
   * @param now the present time
   * @return the decisions
   */
  public List<HealthDecision> onAttemptStarted(String attempt, TargetId target, Now now) {
    List<HealthDecision> decisions = new ArrayList<>(0);
    TargetHealth health = targets.get(target);
    if (health != null) {
      health.onAttemptStarted(attempt, now, decisions::add);
    }
    return finishUpdate(decisions, now);
  }

  /**
   * Notes that the head of a response arrived; from then on the attempt does not count as stalled.
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
   * Notes the end of an attempt.
   *
   * @param attempt the attempt
   * @param target the target
   * @param result how it ended
   * @param timeToHead the time from the send to the head of the response
   * @param now the present time
   * @return the decisions
   */
  public List<HealthDecision> onAttemptEnded(
      String attempt, TargetId target, SendResult result, Duration timeToHead, Now now) {
    List<HealthDecision> decisions = new ArrayList<>(0);
    TargetHealth health = targets.get(target);
    if (health != null) {
      health.onAttemptEnded(
          attempt, result, timeToHead, latency.stallThreshold(), now, decisions::add);
    }
    return finishUpdate(decisions, now);
  }

  /**
   * Takes the report of a peer.
   *
   * @param report the report
   * @param now the time at which it arrived
   * @return the decisions
   */
  public List<HealthDecision> onPeerReport(PoolHealthReport report, Now now) {
    List<HealthDecision> decisions = new ArrayList<>();
    ReportVersion known = lastReports.get(report.observer());
    boolean isOld =
        known != null
            && known.incarnation() == report.incarnation()
            && known.sequence() >= report.sequence();
    if (isOld || report.observer().equals(self)) {
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
   * Does what is due by time; called every 50 ms.
   *
   * @param now the present time
   * @return the decisions
   */
  public List<HealthDecision> tick(Now now) {
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
    boolean suspicious = isFaultSuspected(now);
    if (suspicious) {
      evaluateTargets(decisions, now);
    }
    // Peers can't weigh a suspicion without knowing what works here.
    reportUrgent |= suspicious && !wasFaultSuspected;
    wasFaultSuspected = suspicious;
    return finishUpdate(decisions, now);
  }

  /**
   * Returns the status of the targets that are not simply in use.
   *
   * @param now the present time
   * @return the status by target
   */
  public Map<TargetId, TargetStatus> statuses(Now now) {
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
   * Returns the average number of own requests in flight since the last call.
   *
   * @param interval the time since the last call
   * @param now the present time
   * @return the averages by target, without those near 0
   */
  public Map<TargetId, Double> takeAverageInFlight(Duration interval, Now now) {
    Map<TargetId, Double> averages = new HashMap<>();
    targets.forEach(
        (id, target) -> {
          double average = target.own().takeAverageInFlight(now, interval);
          // Requests that are lost on the way from here take no slot at the target.
          if (average >= 0.01 && !target.hasPathFault()) {
            averages.put(id, average);
          }
        });
    return averages;
  }

  /**
   * Returns the present stall threshold.
   *
   * @return the larger of 400 ms and four times the usual latency of the pool
   */
  public Duration stallThreshold() {
    return latency.stallThreshold();
  }

  /**
   * Returns the pool.
   *
   * @return the pool as last configured
   */
  public Pool pool() {
    return pool;
  }

  /**
   * Tells whether a report must go out at once, and resets the mark.
   *
   * @return whether a target became suspect, a trial started or ended, or a target is draining
   */
  public boolean takeReportUrgency() {
    boolean result = reportUrgent;
    reportUrgent = false;
    return result;
  }

  /**
   * Builds the report for peers.
   *
   * @param now the present time
   * @return the report, or nothing while nobody suspects anything
   */
  public Optional<PoolHealthReport> report(Now now) {
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

  private static Optional<TargetEvidence> evidence(TargetHealth target, Now now) {
    Observation own = target.ownObservation(now);
    Optional<Duration> stall =
        own.hasStallAfter(target.evidenceStart())
            ? own.stallStart().map(now::since)
            : Optional.empty();
    Optional<Duration> success =
        own.successStart().map(now::since).filter(age -> age.compareTo(MAX_EVIDENCE_AGE) < 0);
    boolean nothingToTell =
        stall.isEmpty()
            && success.isEmpty()
            && own.failures() < MIN_REPORTED_FAILURES
            && target.isHealthy();
    return nothingToTell
        ? Optional.empty()
        : Optional.of(
            new TargetEvidence(
                target.target().id(),
                stall,
                success,
                own.progressAt().map(now::since),
                own.slowSince().map(now::since),
                own.failureStart().map(now::since),
                own.failures(),
                own.outcomes(),
                target.trialStartedAt().map(now::since),
                target.backoffLevel(),
                target.isDraining(now)));
  }

  private boolean isFaultSuspected(Now now) {
    for (TargetHealth target : targets.values()) {
      if (!target.isHealthy()) {
        return true;
      }
      for (Observation seen : target.observations(now)) {
        if (seen.hasStallAfter(target.evidenceStart()) || seen.failures() > MIN_REPORTED_FAILURES) {
          return true;
        }
      }
    }
    return false;
  }

  private void evaluateTargets(List<HealthDecision> decisions, Now now) {
    Map<TargetHealth, List<Observation>> seen = new LinkedHashMap<>();
    targets.values().forEach(target -> seen.put(target, target.observations(now)));
    boolean slowEverywhere = isPoolWideSlowdown(seen, now);
    Map<TargetHealth, HealthVerdict> verdicts = new LinkedHashMap<>();
    seen.forEach(
        (target, observations) -> {
          FaultDetector.Context context =
              new FaultDetector.Context(
                  self,
                  ownDomain,
                  slowEverywhere,
                  failureRateOfOthers(seen, target),
                  latency.stallThreshold());
          verdicts.put(
              target, FaultDetector.evaluate(observations, target.evidenceStart(), context, now));
        });
    verdicts.forEach(
        (target, verdict) -> applyVerdict(target, verdict, seen.get(target), decisions, now));
  }

  /** More targets are slow than work, since the first of them became slow. */
  private static boolean isPoolWideSlowdown(Map<TargetHealth, List<Observation>> seen, Now now) {
    Now first = now;
    int slow = 0;
    for (List<Observation> observations : seen.values()) {
      Optional<Now> since = slowSince(observations, now);
      slow += since.isPresent() ? 1 : 0;
      first = since.filter(first::isAfter).orElse(first);
    }
    if (slow < 2) {
      return false;
    }
    int working = 0;
    for (List<Observation> observations : seen.values()) {
      Now since = first;
      boolean works = observations.stream().anyMatch(o -> o.contradictsStallAt(since));
      working += works && slowSince(observations, now).isEmpty() ? 1 : 0;
    }
    return slow > working;
  }

  /** A target is slow from its recent stall on, or since a request that may become one. */
  private static Optional<Now> slowSince(Collection<Observation> seen, Now now) {
    return latestRecentStall(seen, now)
        .or(
            () ->
                seen.stream()
                    .flatMap(o -> o.slowSince().stream())
                    .filter(start -> now.since(start).compareTo(MAX_EVIDENCE_AGE) < 0)
                    .filter(start -> seen.stream().noneMatch(o -> o.contradictsStallAt(start)))
                    .max(Now::compareTo));
  }

  private static Optional<Now> latestRecentStall(Collection<Observation> seen, Now now) {
    Now memory = now.plus(MAX_EVIDENCE_AGE.negated());
    return seen.stream()
        .filter(o -> o.hasStallAfter(memory))
        .flatMap(o -> o.stallStart().stream())
        .max(Now::compareTo);
  }

  private static double failureRateOfOthers(
      Map<TargetHealth, List<Observation>> seen, TargetHealth target) {
    double failures = 0;
    double ends = 0;
    for (Map.Entry<TargetHealth, List<Observation>> entry : seen.entrySet()) {
      if (entry.getKey() != target) {
        failures += FaultDetector.sumFailures(entry.getValue(), entry.getKey().evidenceStart());
        ends += FaultDetector.sumOutcomes(entry.getValue());
      }
    }
    return ends > 0 ? Math.min(1, failures / ends) : 0;
  }

  private void applyVerdict(
      TargetHealth target,
      HealthVerdict verdict,
      List<Observation> seen,
      List<HealthDecision> decisions,
      Now now) {
    switch (target.state()) {
      case TargetState.Healthy ignored -> applyToAvailable(target, verdict, decisions, now);
      case TargetState.Ramping ignored -> applyToAvailable(target, verdict, decisions, now);
      case TargetState.Ejected ejected ->
          applyToEjected(target, ejected, verdict, seen, decisions, now);
      case TargetState.OnTrial ignored -> {}
      case TargetState.Draining ignored -> {}
    }
  }

  private void applyToAvailable(
      TargetHealth target, HealthVerdict verdict, List<HealthDecision> decisions, Now now) {
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

  private static boolean hasOwnEvidence(TargetHealth target, Now now) {
    Observation own = target.ownObservation(now);
    return own.hasStallAfter(target.evidenceStart()) || own.hasFailureAfter(target.evidenceStart());
  }

  private boolean isContradictionWindowOver(TargetHealth target, Now now) {
    Now first = suspectedAt.computeIfAbsent(target.target().id(), id -> now);
    return now.since(first).compareTo(PEER_CONTRADICTION_WINDOW) >= 0;
  }

  private void eject(
      TargetHealth target,
      TargetStatus.Reason reason,
      HealthDecision.Evidence evidence,
      List<HealthDecision> decisions,
      Now now) {
    TargetId id = target.target().id();
    int left = (int) targets.values().stream().filter(t -> t != target && t.isHealthy()).count();
    if (left < pool.floorTargets()) {
      Now last = refusalLoggedAt.get(id);
      if (last == null || now.since(last).compareTo(REFUSAL_LOG_INTERVAL) >= 0) {
        refusalLoggedAt.put(id, now);
        decisions.add(new HealthDecision.EjectionRefused(id, evidence, left, pool.floorTargets()));
      }
      return;
    }
    suspectedAt.remove(id);
    Duration retryIn = target.eject(reason, evidence.kind(), now);
    decisions.add(
        reason == TargetStatus.Reason.PATH_FAULT
            ? new HealthDecision.PathFault(id, evidence, left)
            : new HealthDecision.Ejected(id, evidence, left, retryIn));
  }

  private void applyToEjected(
      TargetHealth target,
      TargetState.Ejected ejected,
      HealthVerdict verdict,
      List<Observation> seen,
      List<HealthDecision> decisions,
      Now now) {
    if (ejected.kind() == FaultKind.RETURNING) {
      return;
    }
    if (now.since(ejected.ejectedAt()).compareTo(EJECTION_REVIEW_PERIOD) < 0) {
      reviewEjection(target, ejected, verdict, decisions, now);
    } else if (ejected.reason() == TargetStatus.Reason.EJECTED) {
      applyPeerTrials(target, ejected, seen, decisions, now);
    }
  }

  private void reviewEjection(
      TargetHealth target,
      TargetState.Ejected ejected,
      HealthVerdict verdict,
      List<HealthDecision> decisions,
      Now now) {
    switch (verdict) {
      case HealthVerdict.RemotePathFault ignored ->
          target.reinstate(HealthDecision.Cause.CONTRADICTED, now, decisions::add);
      case HealthVerdict.PoolWideSlowdown ignored ->
          target.reinstate(HealthDecision.Cause.SLOW_EVERYWHERE, now, decisions::add);
      case HealthVerdict.PathFault path when ejected.reason() == TargetStatus.Reason.EJECTED ->
          reclassifyAsPathFault(target, path.evidence(), decisions);
      case HealthVerdict.PathFault ignored -> {}
      case HealthVerdict.TargetFault ignored -> {}
      // It was busy or stopped for a moment; the next time a trial decides.
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

  /** Readmits a target when the trial of a peer succeeded, unless the own path is at fault. */
  private void applyPeerTrials(
      TargetHealth target,
      TargetState.Ejected ejected,
      List<Observation> seen,
      List<HealthDecision> decisions,
      Now now) {
    Now after = ejected.ejectedAt().plus(EJECTION_PROPAGATION_TIME);
    boolean ownFault = hasOwnEvidence(target, now);
    List<Observation> succeeded =
        seen.stream().filter(o -> !o.observer().equals(self) && o.hasSuccessAfter(after)).toList();
    if (succeeded.isEmpty()) {
      return;
    }
    if (!ownFault || succeeded.stream().anyMatch(o -> o.failureDomain().equals(ownDomain))) {
      target.startRampUp(HealthDecision.Cause.PEER_TRIAL, now, decisions::add);
    } else {
      target.reclassifyAsPathFault();
    }
  }

  /** Returns the targets that evidence keeps out of use. */
  int ejectedTargetCount() {
    return (int) targets.values().stream().filter(TargetHealth::isEjected).count();
  }

  int healthyTargetCount() {
    return (int) targets.values().stream().filter(TargetHealth::isHealthy).count();
  }

  /** Ends each change: restores the floor and notes what peers must hear at once. */
  private List<HealthDecision> finishUpdate(List<HealthDecision> decisions, Now now) {
    while (healthyTargetCount() < pool.floorTargets()) {
      Optional<TargetHealth> least =
          targets.values().stream()
              .filter(TargetHealth::isEjected)
              .min(
                  Comparator.comparing(
                      (TargetHealth t) -> t.ejection().orElseThrow().kind(),
                      Comparator.reverseOrder()));
      if (least.isEmpty()) {
        break;
      }
      least.get().reinstate(HealthDecision.Cause.FLOOR, now, decisions::add);
    }
    reportUrgent |= decisions.stream().anyMatch(PoolHealth::isUrgentForPeers);
    return decisions;
  }

  private static boolean isUrgentForPeers(HealthDecision decision) {
    return switch (decision) {
      case HealthDecision.TrialStarted ignored -> true;
      case HealthDecision.TrialFailed ignored -> true;
      case HealthDecision.DrainingStarted ignored -> true;
      // The evidence went out when the target became suspect.
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
