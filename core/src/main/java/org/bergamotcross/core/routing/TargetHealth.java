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
import org.bergamotcross.kernel.Now;

/**
 * The state machine of one target as one instance sees it.
 *
 * <p>It knows nothing of the other targets; {@link PoolHealth} decides on ejection.
 */
final class TargetHealth {
  static final Duration RAMP_STEP_DURATION = Duration.ofSeconds(5);
  static final double[] RAMP_WEIGHTS = {0.1, 0.5};
  static final Duration MAX_TRIAL_INTERVAL = Duration.ofSeconds(60);

  /** Spreads the trials of the instances, so that the first one is known before the next. */
  private static final long TRIAL_JITTER_MILLIS = 200;

  /** A target that has worked for this long starts with short trial intervals again. */
  private static final Duration BACKOFF_RESET_AFTER = Duration.ofMinutes(5);

  /** A pool whose requests are all non-idempotent has no trials and would stay small for ever. */
  static final Duration MAX_TRIAL_WAIT = Duration.ofSeconds(60);

  /** Longer than a planned stop of a target takes. */
  static final Duration MAX_DRAINING_TIME = Duration.ofSeconds(60);

  /** Reports come at least once a second; three missing ones mean that the peer is gone. */
  static final Duration MAX_PEER_REPORT_AGE = Duration.ofSeconds(3);

  private static final Duration FULL_HISTORY = Duration.ofDays(1);

  private final InstanceId self;
  private final FailureDomain ownDomain;
  private final Target target;
  private final OwnEvidence own;
  private final Map<InstanceId, Observation> peerObservations = new HashMap<>();
  private TargetState state;
  private Now evidenceStart;
  private int backoffLevel;
  private boolean isListedAsDraining;
  private Optional<Now> reportedSuccess = Optional.empty();
  private Optional<Now> reportedProgress = Optional.empty();
  private Optional<Now> drainingUntil = Optional.empty();

  TargetHealth(InstanceId self, FailureDomain ownDomain, Target target, boolean cold, Now now) {
    this.self = self;
    this.ownDomain = ownDomain;
    this.target = target;
    this.own = new OwnEvidence(now);
    this.state = cold ? new TargetState.Ramping(now) : new TargetState.Healthy(now);
    this.evidenceStart = cold ? now : now.plus(FULL_HISTORY.negated());
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

  Now evidenceStart() {
    return evidenceStart;
  }

  int backoffLevel() {
    return backoffLevel;
  }

  boolean isHealthy() {
    return state instanceof TargetState.Healthy;
  }

  /** Tells whether evidence, and not a leaving target's return, keeps the target out of use. */
  boolean isEjected() {
    return ejection().filter(ejected -> ejected.kind() != FaultKind.RETURNING).isPresent();
  }

  boolean hasPathFault() {
    return ejection().filter(e -> e.reason() == TargetStatus.Reason.PATH_FAULT).isPresent();
  }

  Optional<TargetState.Ejected> ejection() {
    return switch (state) {
      case TargetState.Ejected ejected -> Optional.of(ejected);
      case TargetState.OnTrial trying -> Optional.of(trying.ejection());
      case TargetState.Healthy ignored -> Optional.empty();
      case TargetState.Ramping ignored -> Optional.empty();
      case TargetState.Draining ignored -> Optional.empty();
    };
  }

  TargetStatus status(Now now) {
    return switch (state) {
      case TargetState.Healthy ignored -> new TargetStatus.Available(1.0);
      case TargetState.Ramping ramping -> new TargetStatus.Available(weight(ramping, now));
      case TargetState.Ejected ejected ->
          now.isBefore(ejected.nextTrialAt())
              ? new TargetStatus.Unavailable(ejected.reason())
              : new TargetStatus.Trial();
      case TargetState.OnTrial trying -> new TargetStatus.Unavailable(trying.ejection().reason());
      case TargetState.Draining ignored ->
          new TargetStatus.Unavailable(TargetStatus.Reason.DRAINING);
    };
  }

  private static double weight(TargetState.Ramping ramping, Now now) {
    int step = (int) (now.since(ramping.since()).toNanos() / RAMP_STEP_DURATION.toNanos());
    return step < RAMP_WEIGHTS.length ? RAMP_WEIGHTS[step] : 1.0;
  }

  void onAttemptStarted(String attempt, Now now, Consumer<HealthDecision> out) {
    own.onAttemptStarted(attempt, now);
    if (state instanceof TargetState.Ejected ejected && !now.isBefore(ejected.nextTrialAt())) {
      state = new TargetState.OnTrial(ejected, attempt, now);
      out.accept(new HealthDecision.TrialStarted(target.id(), backoffLevel));
    }
  }

  void onResponseHead(String attempt) {
    own.receivingBody(attempt);
  }

  void onAttemptEnded(
      String attempt,
      SendResult result,
      Duration timeToHead,
      Duration threshold,
      Now now,
      Consumer<HealthDecision> out) {
    own.onAttemptEnded(attempt, result, timeToHead, threshold, now);
    if (state instanceof TargetState.OnTrial trying && trying.attempt().equals(attempt)) {
      onTrialEnded(trying, result, timeToHead.compareTo(threshold) <= 0, now, out);
    }
    if (isDraining(result)) {
      onDrainingNotice(now, out);
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
      TargetState.OnTrial trying,
      SendResult result,
      boolean inTime,
      Now now,
      Consumer<HealthDecision> out) {
    switch (result) {
      case SendResult.Completed completed when completed.status() < 500 && inTime ->
          startRampUp(HealthDecision.Cause.TRIAL, now, out);
      case SendResult.Shed ignored -> state = returnToEjected(trying, now);
      case SendResult.Cancelled ignored -> state = returnToEjected(trying, now);
      default -> failTrial(trying, now, out);
    }
  }

  private void failTrial(TargetState.OnTrial trying, Now now, Consumer<HealthDecision> out) {
    backoffLevel++;
    state = returnToEjected(trying, now);
    out.accept(new HealthDecision.TrialFailed(target.id(), trialInterval()));
  }

  private TargetState.Ejected returnToEjected(TargetState.OnTrial trying, Now now) {
    TargetState.Ejected before = trying.ejection();
    return new TargetState.Ejected(
        before.reason(), before.kind(), before.ejectedAt(), nextTrial(now));
  }

  private Duration trialInterval() {
    long seconds = 1L << Math.min(Math.max(0, backoffLevel - 1), 6);
    return Duration.ofSeconds(Math.min(MAX_TRIAL_INTERVAL.toSeconds(), seconds));
  }

  private Now nextTrial(Now now) {
    long spread =
        Math.floorMod(
            (self.value() + target.id().value()).hashCode() + 31L * backoffLevel,
            TRIAL_JITTER_MILLIS);
    return now.plus(trialInterval()).plus(Duration.ofMillis(spread));
  }

  Duration eject(TargetStatus.Reason reason, FaultKind kind, Now now) {
    backoffLevel++;
    state = new TargetState.Ejected(reason, kind, now, nextTrial(now));
    return trialInterval();
  }

  /** Changes the reason of an ejection that peers contradict. */
  void reclassifyAsPathFault() {
    ejection()
        .ifPresent(
            e ->
                state =
                    new TargetState.Ejected(
                        TargetStatus.Reason.PATH_FAULT, e.kind(), e.ejectedAt(), e.nextTrialAt()));
  }

  /** Takes back an ejection that was wrong or that the floor does not allow any more. */
  void reinstate(HealthDecision.Cause cause, Now now, Consumer<HealthDecision> out) {
    if (cause == HealthDecision.Cause.CONTRADICTED
        || cause == HealthDecision.Cause.SLOW_EVERYWHERE) {
      backoffLevel = Math.max(0, backoffLevel - 1);
    }
    state = new TargetState.Healthy(now);
    if (cause == HealthDecision.Cause.FLOOR) {
      discardEvidence(now);
    }
    out.accept(new HealthDecision.Readmitted(target.id(), cause, 1.0));
  }

  void startRampUp(HealthDecision.Cause cause, Now now, Consumer<HealthDecision> out) {
    state = new TargetState.Ramping(now);
    discardEvidence(now);
    out.accept(new HealthDecision.Readmitted(target.id(), cause, RAMP_WEIGHTS[0]));
  }

  private void discardEvidence(Now now) {
    evidenceStart = now;
    own.resetFailures();
  }

  /** Does what is due by time. */
  void onTick(Duration threshold, Now now, Consumer<HealthDecision> out) {
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
      case TargetState.OnTrial trying -> {
        if (now.since(trying.startedAt()).compareTo(threshold) >= 0) {
          failTrial(trying, now, out);
        }
      }
      case TargetState.Ejected ejected -> {
        if (now.since(ejected.nextTrialAt()).compareTo(MAX_TRIAL_WAIT) >= 0) {
          startRampUp(HealthDecision.Cause.TRIAL_UNUSED, now, out);
        }
      }
      case TargetState.Draining ignored -> endDrainingIfOver(now);
    }
  }

  void updateListing(boolean leaving, Now now, Consumer<HealthDecision> out) {
    isListedAsDraining = leaving;
    if (leaving) {
      startDraining(out);
    } else {
      endDrainingIfOver(now);
    }
  }

  private void onDrainingNotice(Now now, Consumer<HealthDecision> out) {
    drainingUntil = Optional.of(now.plus(MAX_DRAINING_TIME));
    startDraining(out);
  }

  private void startDraining(Consumer<HealthDecision> out) {
    if (!(state instanceof TargetState.Draining)) {
      state = new TargetState.Draining();
      out.accept(new HealthDecision.DrainingStarted(target.id()));
    }
  }

  boolean isDraining(Now now) {
    return drainingUntil.filter(now::isBefore).isPresent();
  }

  // "Live" in the list is no proof, so a trial comes first.
  private void endDrainingIfOver(Now now) {
    if (state instanceof TargetState.Draining && !isListedAsDraining && !isDraining(now)) {
      drainingUntil = Optional.empty();
      state =
          new TargetState.Ejected(
              TargetStatus.Reason.EJECTED, FaultKind.RETURNING, now, nextTrial(now));
    }
  }

  void onPeerReport(
      PoolHealthReport report, TargetEvidence evidence, Now now, Consumer<HealthDecision> out) {
    peerObservations.put(report.observer(), Observation.of(report, evidence, now));
    if (evidence.draining()) {
      onDrainingNotice(now, out);
    }
    if (state instanceof TargetState.Ejected ejected
        && ejected.reason() == TargetStatus.Reason.EJECTED) {
      backoffLevel = Math.max(backoffLevel, Math.min(evidence.backoffLevel(), 7));
      evidence.trialAge().ifPresent(age -> deferTrial(ejected, now.plus(age.negated())));
    }
  }

  // Of all instances one tries the target at a time.
  private void deferTrial(TargetState.Ejected ejected, Now peerTrialAt) {
    Now next = nextTrial(peerTrialAt);
    if (next.isAfter(ejected.nextTrialAt())) {
      state = new TargetState.Ejected(ejected.reason(), ejected.kind(), ejected.ejectedAt(), next);
    }
  }

  /** Returns the own observation and those of peers that are not too old. */
  List<Observation> observations(Now now) {
    peerObservations
        .values()
        .removeIf(o -> now.since(o.receivedAt()).compareTo(MAX_PEER_REPORT_AGE) > 0);
    List<Observation> all = new ArrayList<>(peerObservations.size() + 1);
    all.add(own.observation(this, now));
    all.addAll(peerObservations.values());
    return all;
  }

  /** Tells whether a peer suspects the target and does not know yet that it works from here. */
  boolean hasUnreportedContradiction() {
    return peerObservations.values().stream()
        .filter(peer -> peer.hasStallAfter(evidenceStart))
        .map(peer -> peer.stallStart().orElseThrow().plus(Observation.REFUTATION_MARGIN))
        .anyMatch(
            needed ->
                Observation.isRefuted(needed, own.successStart(), own.progressAt())
                    && !Observation.isRefuted(needed, reportedSuccess, reportedProgress));
  }

  void markReported() {
    reportedSuccess = own.successStart();
    reportedProgress = own.progressAt();
  }

  Observation ownObservation(Now now) {
    return own.observation(this, now);
  }

  Optional<Now> trialStartedAt() {
    return state instanceof TargetState.OnTrial trying
        ? Optional.of(trying.startedAt())
        : Optional.empty();
  }
}
