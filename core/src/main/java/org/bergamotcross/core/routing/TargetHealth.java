package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.ClockReading;

/**
 * The state machine of one target from the view of one instance.
 *
 * <p>It does not depend on other targets; {@link PoolHealth} decides on ejections.
 */
final class TargetHealth {
  static final Duration RAMP_STEP_DURATION = Duration.ofSeconds(5);
  static final double[] RAMP_WEIGHTS = {0.1, 0.5};
  static final Duration MAX_TRIAL_INTERVAL = Duration.ofSeconds(60);

  /**
   * Spreads the trial requests of the instances, so that each is known to the others before the
   * next one.
   */
  private static final long TRIAL_JITTER_MILLIS = 200;

  /** Resets the backoff of the trial interval after a target has been healthy for this long. */
  private static final Duration BACKOFF_RESET_AFTER = Duration.ofMinutes(5);

  /**
   * Readmits a target without a trial request after this time. Without the limit, a pool that gets
   * only non-idempotent requests would never recover its targets.
   */
  static final Duration MAX_TRIAL_WAIT = Duration.ofSeconds(60);

  /** The validity of a draining announcement; longer than a planned stop of a target takes. */
  static final Duration MAX_DRAINING_TIME = Duration.ofSeconds(60);

  /** Reports arrive at least once a second; after three missing ones, a peer is presumed gone. */
  static final Duration MAX_PEER_REPORT_AGE = Duration.ofSeconds(3);

  private static final Duration FULL_HISTORY = Duration.ofDays(1);

  private final InstanceId self;
  private final FailureDomain ownDomain;
  private final Target target;
  private final OwnEvidence own;
  private final Map<InstanceId, Observation> peerObservations = new HashMap<>();
  private TargetState state;
  private ClockReading evidenceStart;
  private int backoffLevel;
  private boolean isListedAsDraining;
  private Optional<ClockReading> reportedSuccess = Optional.empty();
  private Optional<ClockReading> reportedProgress = Optional.empty();
  private Optional<ClockReading> drainingUntil = Optional.empty();

  TargetHealth(
      InstanceId self, FailureDomain ownDomain, Target target, boolean isNew, ClockReading now) {
    this.self = self;
    this.ownDomain = ownDomain;
    this.target = target;
    this.own = new OwnEvidence(now);
    this.state = isNew ? new TargetState.Ramping(now) : new TargetState.Healthy(now);
    this.evidenceStart = isNew ? now : now.plus(FULL_HISTORY.negated());
  }

  InstanceId self() {
    return self;
  }

  FailureDomain ownDomain() {
    return ownDomain;
  }

  Target target() {
    return target;
  }

  OwnEvidence own() {
    return own;
  }

  TargetState state() {
    return state;
  }

  ClockReading evidenceStart() {
    return evidenceStart;
  }

  int backoffLevel() {
    return backoffLevel;
  }

  boolean isHealthy() {
    return state instanceof TargetState.Healthy;
  }

  /**
   * Returns whether the target is ejected because of evidence, not because it has just finished
   * draining.
   */
  boolean isEjected() {
    return ejection().filter(ejected -> ejected.kind() != FaultKind.RETURNING).isPresent();
  }

  boolean hasPathFault() {
    return ejection().filter(e -> e.reason() == TargetStatus.Reason.PATH_FAULT).isPresent();
  }

  Optional<TargetState.Ejected> ejection() {
    return switch (state) {
      case TargetState.Ejected ejected -> Optional.of(ejected);
      case TargetState.OnTrial trial -> Optional.of(trial.ejection());
      case TargetState.Healthy ignored -> Optional.empty();
      case TargetState.Ramping ignored -> Optional.empty();
      case TargetState.Draining ignored -> Optional.empty();
    };
  }

  TargetStatus status(ClockReading now) {
    return switch (state) {
      case TargetState.Healthy ignored -> new TargetStatus.Available(1.0);
      case TargetState.Ramping ramping -> new TargetStatus.Available(weight(ramping, now));
      case TargetState.Ejected ejected ->
          now.isBefore(ejected.nextTrialAt())
              ? new TargetStatus.Unavailable(ejected.reason())
              : new TargetStatus.Trial();
      case TargetState.OnTrial trial -> new TargetStatus.Unavailable(trial.ejection().reason());
      case TargetState.Draining ignored ->
          new TargetStatus.Unavailable(TargetStatus.Reason.DRAINING);
    };
  }

  private static double weight(TargetState.Ramping ramping, ClockReading now) {
    int step = (int) (now.since(ramping.since()).toNanos() / RAMP_STEP_DURATION.toNanos());
    return step < RAMP_WEIGHTS.length ? RAMP_WEIGHTS[step] : 1.0;
  }

  void onAttemptStarted(String attempt, ClockReading now, Consumer<HealthDecision> decisions) {
    own.onAttemptStarted(attempt, now);
    if (state instanceof TargetState.Ejected ejected && !now.isBefore(ejected.nextTrialAt())) {
      state = new TargetState.OnTrial(ejected, attempt, now);
      decisions.accept(new HealthDecision.TrialStarted(target.id(), backoffLevel));
    }
  }

  void onResponseHead(String attempt) {
    own.onResponseHead(attempt);
  }

  void onAttemptEnded(
      String attempt,
      SendResult result,
      Duration timeToHead,
      Duration threshold,
      ClockReading now,
      Consumer<HealthDecision> decisions) {
    own.onAttemptEnded(attempt, result, timeToHead, threshold, now);
    if (state instanceof TargetState.OnTrial trial && trial.attempt().equals(attempt)) {
      onTrialEnded(trial, result, timeToHead.compareTo(threshold) <= 0, now, decisions);
    }
    if (isDraining(result)) {
      onDrainingNotice(now, decisions);
    }
  }

  private static boolean isDraining(SendResult result) {
    return switch (result) {
      case SendResult.Completed completed -> completed.draining();
      case SendResult.Shed shed -> shed.draining();
      default -> false;
    };
  }

  private void onTrialEnded(
      TargetState.OnTrial trial,
      SendResult result,
      boolean isInTime,
      ClockReading now,
      Consumer<HealthDecision> decisions) {
    switch (result) {
      case SendResult.Completed completed when completed.status() < 500 && isInTime ->
          startRampUp(HealthDecision.Cause.TRIAL, now, decisions);
      case SendResult.Shed ignored -> state = returnToEjected(trial, now);
      case SendResult.Cancelled ignored -> state = returnToEjected(trial, now);
      default -> failTrial(trial, now, decisions);
    }
  }

  private void failTrial(
      TargetState.OnTrial trial, ClockReading now, Consumer<HealthDecision> decisions) {
    backoffLevel++;
    state = returnToEjected(trial, now);
    decisions.accept(new HealthDecision.TrialFailed(target.id(), trialInterval()));
  }

  private TargetState.Ejected returnToEjected(TargetState.OnTrial trial, ClockReading now) {
    TargetState.Ejected ejection = trial.ejection();
    return new TargetState.Ejected(
        ejection.reason(), ejection.kind(), ejection.ejectedAt(), nextTrial(now));
  }

  private Duration trialInterval() {
    long seconds = 1L << Math.min(Math.max(0, backoffLevel - 1), 6);
    return Duration.ofSeconds(Math.min(MAX_TRIAL_INTERVAL.toSeconds(), seconds));
  }

  private ClockReading nextTrial(ClockReading now) {
    long jitter =
        Math.floorMod(
            (self.value() + target.id().value()).hashCode() + 31L * backoffLevel,
            TRIAL_JITTER_MILLIS);
    return now.plus(trialInterval()).plus(Duration.ofMillis(jitter));
  }

  Duration eject(TargetStatus.Reason reason, FaultKind kind, ClockReading now) {
    backoffLevel++;
    state = new TargetState.Ejected(reason, kind, now, nextTrial(now));
    return trialInterval();
  }

  /** Changes the reason of an ejection that peers contradict to a path fault. */
  void reclassifyAsPathFault() {
    ejection()
        .ifPresent(
            e ->
                state =
                    new TargetState.Ejected(
                        TargetStatus.Reason.PATH_FAULT, e.kind(), e.ejectedAt(), e.nextTrialAt()));
  }

  /** Reverses an ejection that was wrong or that the floor no longer permits. */
  void reinstate(HealthDecision.Cause cause, ClockReading now, Consumer<HealthDecision> decisions) {
    if (cause == HealthDecision.Cause.CONTRADICTED
        || cause == HealthDecision.Cause.SLOW_EVERYWHERE) {
      backoffLevel = Math.max(0, backoffLevel - 1);
    }
    state = new TargetState.Healthy(now);
    if (cause == HealthDecision.Cause.FLOOR) {
      discardEvidence(now);
    }
    decisions.accept(new HealthDecision.Readmitted(target.id(), cause, 1.0));
  }

  void startRampUp(
      HealthDecision.Cause cause, ClockReading now, Consumer<HealthDecision> decisions) {
    state = new TargetState.Ramping(now);
    discardEvidence(now);
    decisions.accept(new HealthDecision.Readmitted(target.id(), cause, RAMP_WEIGHTS[0]));
  }

  private void discardEvidence(ClockReading now) {
    evidenceStart = now;
    own.resetFailures();
  }

  /** Applies the state changes that are due. */
  void onTick(Duration threshold, ClockReading now, Consumer<HealthDecision> decisions) {
    own.updateStalls(threshold, now);
    switch (state) {
      case TargetState.Healthy healthy -> {
        if (backoffLevel > 0 && now.since(healthy.since()).compareTo(BACKOFF_RESET_AFTER) > 0) {
          backoffLevel = 0;
        }
      }
      case TargetState.Ramping ramping -> {
        if (weight(ramping, now) >= 1.0) {
          state = new TargetState.Healthy(now);
        }
      }
      case TargetState.OnTrial trial -> {
        if (now.since(trial.startedAt()).compareTo(threshold) >= 0) {
          failTrial(trial, now, decisions);
        }
      }
      case TargetState.Ejected ejected -> {
        if (now.since(ejected.nextTrialAt()).compareTo(MAX_TRIAL_WAIT) >= 0) {
          startRampUp(HealthDecision.Cause.TRIAL_UNUSED, now, decisions);
        }
      }
      case TargetState.Draining ignored -> endDrainingIfOver(now);
    }
  }

  void updateListing(boolean isDraining, ClockReading now, Consumer<HealthDecision> decisions) {
    isListedAsDraining = isDraining;
    if (isDraining) {
      startDraining(decisions);
    } else {
      endDrainingIfOver(now);
    }
  }

  private void onDrainingNotice(ClockReading now, Consumer<HealthDecision> decisions) {
    drainingUntil = Optional.of(now.plus(MAX_DRAINING_TIME));
    startDraining(decisions);
  }

  private void startDraining(Consumer<HealthDecision> decisions) {
    if (!(state instanceof TargetState.Draining)) {
      state = new TargetState.Draining();
      decisions.accept(new HealthDecision.DrainingStarted(target.id()));
    }
  }

  boolean isDraining(ClockReading now) {
    return drainingUntil.filter(now::isBefore).isPresent();
  }

  // A "live" entry in the directory is no proof of health, so a trial request comes first.
  private void endDrainingIfOver(ClockReading now) {
    if (state instanceof TargetState.Draining && !isListedAsDraining && !isDraining(now)) {
      drainingUntil = Optional.empty();
      state =
          new TargetState.Ejected(
              TargetStatus.Reason.EJECTED, FaultKind.RETURNING, now, nextTrial(now));
    }
  }

  void onPeerReport(
      PoolHealthReport report,
      TargetEvidence evidence,
      ClockReading now,
      Consumer<HealthDecision> decisions) {
    peerObservations.put(report.observer(), Observation.of(report, evidence, now));
    if (evidence.draining()) {
      onDrainingNotice(now, decisions);
    }
    if (state instanceof TargetState.Ejected ejected
        && ejected.reason() == TargetStatus.Reason.EJECTED) {
      backoffLevel = Math.max(backoffLevel, Math.min(evidence.backoffLevel(), 7));
      evidence.trialAge().ifPresent(age -> deferTrial(ejected, now.plus(age.negated())));
    }
  }

  // Only one instance at a time sends a trial request to the target.
  private void deferTrial(TargetState.Ejected ejected, ClockReading peerTrialAt) {
    ClockReading next = nextTrial(peerTrialAt);
    if (next.isAfter(ejected.nextTrialAt())) {
      state = new TargetState.Ejected(ejected.reason(), ejected.kind(), ejected.ejectedAt(), next);
    }
  }

  /** Returns the observation of this instance and the recent ones of its peers. */
  List<Observation> observations(ClockReading now) {
    peerObservations
        .values()
        .removeIf(o -> now.since(o.receivedAt()).compareTo(MAX_PEER_REPORT_AGE) > 0);
    List<Observation> all = new ArrayList<>(peerObservations.size() + 1);
    all.add(own.observation(this, now));
    all.addAll(peerObservations.values());
    return all;
  }

  /**
   * Returns whether a peer suspects the target and this instance has successes that refute it but
   * are not yet reported.
   */
  boolean hasUnreportedContradiction() {
    return peerObservations.values().stream()
        .filter(peer -> peer.hasStallAfter(evidenceStart))
        .map(peer -> peer.stallStart().orElseThrow().plus(Observation.REFUTATION_MARGIN))
        .anyMatch(
            required ->
                Observation.isRefuted(required, own.successStart(), own.progressAt())
                    && !Observation.isRefuted(required, reportedSuccess, reportedProgress));
  }

  void markReported() {
    reportedSuccess = own.successStart();
    reportedProgress = own.progressAt();
  }

  Observation ownObservation(ClockReading now) {
    return own.observation(this, now);
  }

  Optional<ClockReading> trialStartedAt() {
    return state instanceof TargetState.OnTrial trial
        ? Optional.of(trial.startedAt())
        : Optional.empty();
  }
}
