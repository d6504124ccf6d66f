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
  static final Duration PEER_GRACE = Duration.ofMillis(100);

  /** Ends before the first trial, so that a trial that succeeds leads to a ramp. */
  static final Duration REVISION = Duration.ofMillis(900);

  /** The time after which all instances know of an ejection and only trials are sent. */
  static final Duration PROPAGATION = Duration.ofMillis(200);

  /** Older stalls say nothing about whether the whole pool is slow now. */
  static final Duration POOL_MEMORY = Duration.ofSeconds(10);

  /** The least time between two lines about the same ejection that the floor prevents. */
  static final Duration REFUSAL_PAUSE = Duration.ofSeconds(10);

  /** The routing duty may still use the old configuration for a moment. */
  private static final Duration REMOVED_MEMORY = Duration.ofSeconds(60);

  /** After a pause of this process, answers that have arrived are still to be read. */
  static final Duration PAUSE = Duration.ofMillis(300);

  private static final double LEAST_FAILURES = 0.1;

  private record Origin(long incarnation, long sequence) {}

  private final InstanceId self;
  private final long incarnation;
  private final FailureDomain ownDomain;
  private final Map<TargetId, TargetHealth> targets = new LinkedHashMap<>();
  private final Map<TargetId, Now> removed = new HashMap<>();
  private final Map<TargetId, Now> refusedAt = new HashMap<>();
  private final Map<TargetId, Now> accusedAt = new HashMap<>();
  private final Map<InstanceId, Origin> origins = new HashMap<>();
  private final UsualLatency usual = new UsualLatency();
  private Pool pool;
  private long sequence;
  private boolean urgent;
  private boolean wasSuspicious;
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
      removed.remove(target.id());
    }
    before.keySet().forEach(id -> removed.put(id, now));
    return settle(new ArrayList<>(), now);
  }

  /**
   * Takes over the list of leaving targets.
   *
   * @param leaving the targets that the list shows as leaving
   * @param now the present time
   * @return the decisions
   */
  public List<HealthDecision> leaving(Set<TargetId> leaving, Now now) {
    List<HealthDecision> decisions = new ArrayList<>();
    targets.forEach((id, target) -> target.listed(leaving.contains(id), now, decisions::add));
    return settle(decisions, now);
  }

  /**
   * Notes an attempt that was sent.
   *
   * @param attempt the attempt, unique
   * @param target the target
   * @param now the present time
   * @return the decisions
   */
  public List<HealthDecision> started(String attempt, TargetId target, Now now) {
    List<HealthDecision> decisions = new ArrayList<>(0);
    TargetHealth health = targets.get(target);
    if (health != null) {
      health.started(attempt, now, decisions::add);
    }
    return settle(decisions, now);
  }

  /**
   * Notes that the head of a response arrived; from then on the attempt does not count as stalled.
   *
   * @param attempt the attempt
   * @param target the target
   */
  public void answering(String attempt, TargetId target) {
    TargetHealth health = targets.get(target);
    if (health != null) {
      health.answering(attempt);
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
  public List<HealthDecision> ended(
      String attempt, TargetId target, SendResult result, Duration timeToHead, Now now) {
    List<HealthDecision> decisions = new ArrayList<>(0);
    TargetHealth health = targets.get(target);
    if (health != null) {
      health.ended(attempt, result, timeToHead, usual.threshold(), now, decisions::add);
    }
    return settle(decisions, now);
  }

  /**
   * Takes the report of a peer.
   *
   * @param report the report
   * @param now the time at which it arrived
   * @return the decisions
   */
  public List<HealthDecision> reported(PoolReport report, Now now) {
    List<HealthDecision> decisions = new ArrayList<>();
    Origin known = origins.get(report.observer());
    boolean isOld =
        known != null
            && known.incarnation() == report.incarnation()
            && known.sequence() >= report.sequence();
    if (isOld || report.observer().equals(self)) {
      return decisions;
    }
    origins.put(report.observer(), new Origin(report.incarnation(), report.sequence()));
    usual.reported(report.observer(), report.usualLatency(), now);
    for (TargetEvidence evidence : report.targets()) {
      TargetHealth health = targets.get(evidence.target());
      if (health != null) {
        health.reported(report, evidence, now, decisions::add);
      }
    }
    return settle(decisions, now);
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
    if (sinceTick.compareTo(PAUSE) > 0) {
      targets.values().forEach(target -> target.own().skip(sinceTick, now));
    }
    lastTick = now;
    usual.update(targets.values().stream().map(TargetHealth::own).toList(), now);
    for (TargetHealth target : targets.values()) {
      boolean stalled = target.ownObservation(now).stalledSince(target.cleanSince());
      target.advance(usual.threshold(), now, decisions::add);
      urgent |= !stalled && target.ownObservation(now).stalledSince(target.cleanSince());
      urgent |= target.mustContradict();
    }
    boolean suspicious = isSuspicious(now);
    if (suspicious) {
      judge(decisions, now);
    }
    // Peers can't weigh a suspicion without knowing what works here.
    urgent |= suspicious && !wasSuspicious;
    wasSuspicious = suspicious;
    return settle(decisions, now);
  }

  /**
   * Returns the status of the targets that are not simply in use.
   *
   * @param now the present time
   * @return the status by target
   */
  public Map<TargetId, TargetStatus> statuses(Now now) {
    removed.values().removeIf(at -> now.since(at).compareTo(REMOVED_MEMORY) > 0);
    Map<TargetId, TargetStatus> statuses = new HashMap<>();
    removed
        .keySet()
        .forEach(id -> statuses.put(id, new TargetStatus.Avoided(TargetStatus.Reason.LEAVING)));
    targets.forEach(
        (id, target) -> {
          if (!target.isWarm()) {
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
          double average = target.own().takeAverageOpen(now, interval);
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
    return usual.threshold();
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
  public boolean takeUrgent() {
    boolean result = urgent;
    urgent = false;
    return result;
  }

  /**
   * Builds the report for peers.
   *
   * @param now the present time
   * @return the report, or nothing while nobody suspects anything
   */
  public Optional<PoolReport> report(Now now) {
    if (!isSuspicious(now)) {
      return Optional.empty();
    }
    List<TargetEvidence> evidence =
        targets.values().stream().flatMap(t -> evidence(t, now).stream()).toList();
    targets.values().forEach(TargetHealth::told);
    return Optional.of(
        new PoolReport(self, incarnation, ownDomain, sequence++, pool.id(), usual.own(), evidence));
  }

  private static Optional<TargetEvidence> evidence(TargetHealth target, Now now) {
    Observation own = target.ownObservation(now);
    Optional<Duration> stall =
        own.stalledSince(target.cleanSince()) ? own.stall().map(now::since) : Optional.empty();
    Optional<Duration> success =
        own.success().map(now::since).filter(age -> age.compareTo(POOL_MEMORY) < 0);
    boolean nothingToTell =
        stall.isEmpty() && success.isEmpty() && own.failures() < LEAST_FAILURES && target.isWarm();
    return nothingToTell
        ? Optional.empty()
        : Optional.of(
            new TargetEvidence(
                target.target().id(),
                stall,
                success,
                own.progress().map(now::since),
                own.slowSince().map(now::since),
                own.failure().map(now::since),
                own.failures(),
                own.ends(),
                target.trialStartedAt().map(now::since),
                target.faults(),
                target.isDraining(now)));
  }

  private boolean isSuspicious(Now now) {
    for (TargetHealth target : targets.values()) {
      if (!target.isWarm()) {
        return true;
      }
      for (Observation seen : target.observations(now)) {
        if (seen.stalledSince(target.cleanSince()) || seen.failures() > LEAST_FAILURES) {
          return true;
        }
      }
    }
    return false;
  }

  private void judge(List<HealthDecision> decisions, Now now) {
    Map<TargetHealth, List<Observation>> seen = new LinkedHashMap<>();
    targets.values().forEach(target -> seen.put(target, target.observations(now)));
    boolean slowEverywhere = isSlowEverywhere(seen, now);
    Map<TargetHealth, Verdict> verdicts = new LinkedHashMap<>();
    seen.forEach(
        (target, observations) -> {
          FaultJudge.Context context =
              new FaultJudge.Context(
                  self,
                  ownDomain,
                  slowEverywhere,
                  failureRateOfOthers(seen, target),
                  usual.threshold());
          verdicts.put(target, FaultJudge.judge(observations, target.cleanSince(), context, now));
        });
    verdicts.forEach((target, verdict) -> apply(target, verdict, seen.get(target), decisions, now));
  }

  /** More targets are slow than work, since the first of them became slow. */
  private static boolean isSlowEverywhere(Map<TargetHealth, List<Observation>> seen, Now now) {
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
      boolean works = observations.stream().anyMatch(o -> o.contradicts(since));
      working += works && slowSince(observations, now).isEmpty() ? 1 : 0;
    }
    return slow > working;
  }

  /** A target is slow from its recent stall on, or since a request that may become one. */
  private static Optional<Now> slowSince(Collection<Observation> seen, Now now) {
    return recentStall(seen, now)
        .or(
            () ->
                seen.stream()
                    .flatMap(o -> o.slowSince().stream())
                    .filter(start -> now.since(start).compareTo(POOL_MEMORY) < 0)
                    .filter(start -> seen.stream().noneMatch(o -> o.contradicts(start)))
                    .max(Now::compareTo));
  }

  private static Optional<Now> recentStall(Collection<Observation> seen, Now now) {
    Now memory = now.plus(POOL_MEMORY.negated());
    return seen.stream()
        .filter(o -> o.stalledSince(memory))
        .flatMap(o -> o.stall().stream())
        .max(Now::compareTo);
  }

  private static double failureRateOfOthers(
      Map<TargetHealth, List<Observation>> seen, TargetHealth target) {
    double failures = 0;
    double ends = 0;
    for (Map.Entry<TargetHealth, List<Observation>> entry : seen.entrySet()) {
      if (entry.getKey() != target) {
        failures += FaultJudge.failures(entry.getValue(), entry.getKey().cleanSince());
        ends += FaultJudge.ends(entry.getValue());
      }
    }
    return ends > 0 ? Math.min(1, failures / ends) : 0;
  }

  private void apply(
      TargetHealth target,
      Verdict verdict,
      List<Observation> seen,
      List<HealthDecision> decisions,
      Now now) {
    switch (target.state()) {
      case TargetState.Healthy ignored -> applyInUse(target, verdict, decisions, now);
      case TargetState.Ramping ignored -> applyInUse(target, verdict, decisions, now);
      case TargetState.Ejected ejected ->
          applyEjected(target, ejected, verdict, seen, decisions, now);
      case TargetState.Trying ignored -> {}
      case TargetState.Leaving ignored -> {}
    }
  }

  private void applyInUse(
      TargetHealth target, Verdict verdict, List<HealthDecision> decisions, Now now) {
    switch (verdict) {
      case Verdict.Fleet fleet -> {
        if (isGraceOver(target, now)) {
          eject(target, TargetStatus.Reason.EJECTED, fleet.evidence(), decisions, now);
        }
      }
      case Verdict.Path path ->
          eject(target, TargetStatus.Reason.PATH_FAULT, path.evidence(), decisions, now);
      case Verdict.Fine ignored -> accusedAt.remove(target.target().id());
      case Verdict.Elsewhere ignored -> accusedAt.remove(target.target().id());
      case Verdict.Everywhere ignored -> accusedAt.remove(target.target().id());
    }
  }

  private static boolean isOwn(TargetHealth target, Now now) {
    Observation own = target.ownObservation(now);
    return own.stalledSince(target.cleanSince()) || own.failedSince(target.cleanSince());
  }

  private boolean isGraceOver(TargetHealth target, Now now) {
    Now first = accusedAt.computeIfAbsent(target.target().id(), id -> now);
    return now.since(first).compareTo(PEER_GRACE) >= 0;
  }

  private void eject(
      TargetHealth target,
      TargetStatus.Reason reason,
      HealthDecision.Evidence evidence,
      List<HealthDecision> decisions,
      Now now) {
    TargetId id = target.target().id();
    int left = (int) targets.values().stream().filter(t -> t != target && t.isWarm()).count();
    if (left < pool.floorTargets()) {
      Now last = refusedAt.get(id);
      if (last == null || now.since(last).compareTo(REFUSAL_PAUSE) >= 0) {
        refusedAt.put(id, now);
        decisions.add(new HealthDecision.EjectionRefused(id, evidence, left, pool.floorTargets()));
      }
      return;
    }
    accusedAt.remove(id);
    Duration retryIn = target.eject(reason, evidence.kind(), now);
    decisions.add(
        reason == TargetStatus.Reason.PATH_FAULT
            ? new HealthDecision.PathFault(id, evidence, left)
            : new HealthDecision.Ejected(id, evidence, left, retryIn));
  }

  private void applyEjected(
      TargetHealth target,
      TargetState.Ejected ejected,
      Verdict verdict,
      List<Observation> seen,
      List<HealthDecision> decisions,
      Now now) {
    if (ejected.kind() == FaultKind.RETURNING) {
      return;
    }
    if (now.since(ejected.at()).compareTo(REVISION) < 0) {
      revise(target, ejected, verdict, decisions, now);
    } else if (ejected.reason() == TargetStatus.Reason.EJECTED) {
      followPeers(target, ejected, seen, decisions, now);
    }
  }

  private void revise(
      TargetHealth target,
      TargetState.Ejected ejected,
      Verdict verdict,
      List<HealthDecision> decisions,
      Now now) {
    switch (verdict) {
      case Verdict.Elsewhere ignored ->
          target.reinstate(HealthDecision.Cause.CONTRADICTED, now, decisions::add);
      case Verdict.Everywhere ignored ->
          target.reinstate(HealthDecision.Cause.SLOW_EVERYWHERE, now, decisions::add);
      case Verdict.Path path when ejected.reason() == TargetStatus.Reason.EJECTED ->
          pathFault(target, path.evidence(), decisions);
      case Verdict.Path ignored -> {}
      case Verdict.Fleet ignored -> {}
      // It was busy or stopped for a moment; the next time a trial decides.
      case Verdict.Fine ignored when target.faults() == 1 ->
          target.reinstate(HealthDecision.Cause.RECOVERED, now, decisions::add);
      case Verdict.Fine ignored -> {}
    }
  }

  private void pathFault(
      TargetHealth target, HealthDecision.Evidence evidence, List<HealthDecision> decisions) {
    target.becomePathFault();
    decisions.add(new HealthDecision.PathFault(target.target().id(), evidence, warmTargets()));
  }

  /** Readmits a target when the trial of a peer succeeded, unless the own path is at fault. */
  private void followPeers(
      TargetHealth target,
      TargetState.Ejected ejected,
      List<Observation> seen,
      List<HealthDecision> decisions,
      Now now) {
    Now after = ejected.at().plus(PROPAGATION);
    boolean ownFault = isOwn(target, now);
    List<Observation> succeeded =
        seen.stream().filter(o -> !o.observer().equals(self) && o.succeededAfter(after)).toList();
    if (succeeded.isEmpty()) {
      return;
    }
    if (!ownFault || succeeded.stream().anyMatch(o -> o.failureDomain().equals(ownDomain))) {
      target.ramp(HealthDecision.Cause.PEER_TRIAL, now, decisions::add);
    } else {
      target.becomePathFault();
    }
  }

  /** Returns the targets that evidence keeps out of use. */
  int ejectedTargets() {
    return (int) targets.values().stream().filter(TargetHealth::isEjected).count();
  }

  int warmTargets() {
    return (int) targets.values().stream().filter(TargetHealth::isWarm).count();
  }

  /** Ends each change: restores the floor and notes what peers must hear at once. */
  private List<HealthDecision> settle(List<HealthDecision> decisions, Now now) {
    while (warmTargets() < pool.floorTargets()) {
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
    urgent |= decisions.stream().anyMatch(PoolHealth::concernsPeers);
    return decisions;
  }

  private static boolean concernsPeers(HealthDecision decision) {
    return switch (decision) {
      case HealthDecision.TrialStarted ignored -> true;
      case HealthDecision.TrialFailed ignored -> true;
      case HealthDecision.Left ignored -> true;
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
  public PoolId id() {
    return pool.id();
  }
}
