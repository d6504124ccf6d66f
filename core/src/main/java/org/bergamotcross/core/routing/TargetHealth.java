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
  static final Duration RAMP_STEP = Duration.ofSeconds(5);
  static final double[] RAMP_WEIGHTS = {0.1, 0.5};
  static final Duration MAX_TRIAL_INTERVAL = Duration.ofSeconds(60);

  /** Spreads the trials of the instances, so that the first one is known before the next. */
  private static final long TRIAL_SPREAD_MILLIS = 200;

  /** A target that has worked for this long starts with short trial intervals again. */
  private static final Duration FLAP_MEMORY = Duration.ofMinutes(5);

  /** A pool whose requests are all non-idempotent has no trials and would stay small for ever. */
  static final Duration TRIAL_UNUSED_LIMIT = Duration.ofSeconds(60);

  /** Longer than a planned stop of a target takes. */
  static final Duration DRAINING_LIMIT = Duration.ofSeconds(60);

  /** Reports come at least once a second; three missing ones mean that the peer is gone. */
  static final Duration PEER_AGE_LIMIT = Duration.ofSeconds(3);

  private static final Duration LONG_AGO = Duration.ofDays(1);

  private final InstanceId self;
  private final FailureDomain ownDomain;
  private final Target target;
  private final OwnEvidence own;
  private final Map<InstanceId, Observation> peers = new HashMap<>();
  private TargetState state;
  private Now cleanSince;
  private int faults;
  private boolean listedAsLeaving;
  private Optional<Now> toldSuccess = Optional.empty();
  private Optional<Now> toldProgress = Optional.empty();
  private Optional<Now> drainingUntil = Optional.empty();

  TargetHealth(InstanceId self, FailureDomain ownDomain, Target target, boolean cold, Now now) {
    this.self = self;
    this.ownDomain = ownDomain;
    this.target = target;
    this.own = new OwnEvidence(now);
    this.state = cold ? new TargetState.Ramping(now) : new TargetState.Healthy(now);
    this.cleanSince = cold ? now : now.plus(LONG_AGO.negated());
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

  Now cleanSince() {
    return cleanSince;
  }

  int faults() {
    return faults;
  }

  boolean isWarm() {
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
      case TargetState.Trying trying -> Optional.of(trying.before());
      case TargetState.Healthy ignored -> Optional.empty();
      case TargetState.Ramping ignored -> Optional.empty();
      case TargetState.Leaving ignored -> Optional.empty();
    };
  }

  TargetStatus status(Now now) {
    return switch (state) {
      case TargetState.Healthy ignored -> new TargetStatus.InUse(1.0);
      case TargetState.Ramping ramping -> new TargetStatus.InUse(weight(ramping, now));
      case TargetState.Ejected ejected ->
          now.isBefore(ejected.nextTrial())
              ? new TargetStatus.Avoided(ejected.reason())
              : new TargetStatus.Trial();
      case TargetState.Trying trying -> new TargetStatus.Avoided(trying.before().reason());
      case TargetState.Leaving ignored -> new TargetStatus.Avoided(TargetStatus.Reason.LEAVING);
    };
  }

  private static double weight(TargetState.Ramping ramping, Now now) {
    int step = (int) (now.since(ramping.since()).toNanos() / RAMP_STEP.toNanos());
    return step < RAMP_WEIGHTS.length ? RAMP_WEIGHTS[step] : 1.0;
  }

  void started(String attempt, Now now, Consumer<HealthDecision> out) {
    own.started(attempt, now);
    if (state instanceof TargetState.Ejected ejected && !now.isBefore(ejected.nextTrial())) {
      state = new TargetState.Trying(ejected, attempt, now);
      out.accept(new HealthDecision.TrialStarted(target.id(), faults));
    }
  }

  void answering(String attempt) {
    own.answering(attempt);
  }

  void ended(
      String attempt,
      SendResult result,
      Duration timeToHead,
      Duration threshold,
      Now now,
      Consumer<HealthDecision> out) {
    own.ended(attempt, result, timeToHead, threshold, now);
    if (state instanceof TargetState.Trying trying && trying.attempt().equals(attempt)) {
      trialEnded(trying, result, timeToHead.compareTo(threshold) <= 0, now, out);
    }
    if (isDraining(result)) {
      drain(now, out);
    }
  }

  private static boolean isDraining(SendResult result) {
    return switch (result) {
      case SendResult.Completed completed -> completed.draining();
      case SendResult.Shed shed -> shed.draining();
      default -> false;
    };
  }

  private void trialEnded(
      TargetState.Trying trying,
      SendResult result,
      boolean inTime,
      Now now,
      Consumer<HealthDecision> out) {
    switch (result) {
      case SendResult.Completed completed when completed.status() < 500 && inTime ->
          ramp(HealthDecision.Cause.TRIAL, now, out);
      case SendResult.Shed ignored -> state = again(trying, now);
      case SendResult.Cancelled ignored -> state = again(trying, now);
      default -> trialFailed(trying, now, out);
    }
  }

  private void trialFailed(TargetState.Trying trying, Now now, Consumer<HealthDecision> out) {
    faults++;
    state = again(trying, now);
    out.accept(new HealthDecision.TrialFailed(target.id(), trialInterval()));
  }

  private TargetState.Ejected again(TargetState.Trying trying, Now now) {
    TargetState.Ejected before = trying.before();
    return new TargetState.Ejected(before.reason(), before.kind(), before.at(), nextTrial(now));
  }

  private Duration trialInterval() {
    long seconds = 1L << Math.min(Math.max(0, faults - 1), 6);
    return Duration.ofSeconds(Math.min(MAX_TRIAL_INTERVAL.toSeconds(), seconds));
  }

  private Now nextTrial(Now now) {
    long spread =
        Math.floorMod(
            (self.value() + target.id().value()).hashCode() + 31L * faults, TRIAL_SPREAD_MILLIS);
    return now.plus(trialInterval()).plus(Duration.ofMillis(spread));
  }

  Duration eject(TargetStatus.Reason reason, FaultKind kind, Now now) {
    faults++;
    state = new TargetState.Ejected(reason, kind, now, nextTrial(now));
    return trialInterval();
  }

  /** Changes the reason of an ejection that peers contradict. */
  void becomePathFault() {
    ejection()
        .ifPresent(
            e ->
                state =
                    new TargetState.Ejected(
                        TargetStatus.Reason.PATH_FAULT, e.kind(), e.at(), e.nextTrial()));
  }

  /** Takes back an ejection that was wrong or that the floor does not allow any more. */
  void reinstate(HealthDecision.Cause cause, Now now, Consumer<HealthDecision> out) {
    if (cause == HealthDecision.Cause.CONTRADICTED
        || cause == HealthDecision.Cause.SLOW_EVERYWHERE) {
      faults = Math.max(0, faults - 1);
    }
    state = new TargetState.Healthy(now);
    if (cause == HealthDecision.Cause.FLOOR) {
      forgetEvidence(now);
    }
    out.accept(new HealthDecision.Readmitted(target.id(), cause, 1.0));
  }

  void ramp(HealthDecision.Cause cause, Now now, Consumer<HealthDecision> out) {
    state = new TargetState.Ramping(now);
    forgetEvidence(now);
    out.accept(new HealthDecision.Readmitted(target.id(), cause, RAMP_WEIGHTS[0]));
  }

  private void forgetEvidence(Now now) {
    cleanSince = now;
    own.resetFailures();
  }

  /** Does what is due by time. */
  void advance(Duration threshold, Now now, Consumer<HealthDecision> out) {
    own.update(threshold, now);
    switch (state) {
      case TargetState.Healthy healthy -> {
        if (faults > 0 && now.since(healthy.since()).compareTo(FLAP_MEMORY) > 0) {
          faults = 0;
        }
      }
      case TargetState.Ramping ramping -> {
        if (weight(ramping, now) >= 1.0) {
          state = new TargetState.Healthy(now);
        }
      }
      case TargetState.Trying trying -> {
        if (now.since(trying.startedAt()).compareTo(threshold) >= 0) {
          trialFailed(trying, now, out);
        }
      }
      case TargetState.Ejected ejected -> {
        if (now.since(ejected.nextTrial()).compareTo(TRIAL_UNUSED_LIMIT) >= 0) {
          ramp(HealthDecision.Cause.UNTRIED, now, out);
        }
      }
      case TargetState.Leaving ignored -> returnIfDone(now);
    }
  }

  void listed(boolean leaving, Now now, Consumer<HealthDecision> out) {
    listedAsLeaving = leaving;
    if (leaving) {
      leave(out);
    } else {
      returnIfDone(now);
    }
  }

  private void drain(Now now, Consumer<HealthDecision> out) {
    drainingUntil = Optional.of(now.plus(DRAINING_LIMIT));
    leave(out);
  }

  private void leave(Consumer<HealthDecision> out) {
    if (!(state instanceof TargetState.Leaving)) {
      state = new TargetState.Leaving();
      out.accept(new HealthDecision.Left(target.id()));
    }
  }

  boolean isDraining(Now now) {
    return drainingUntil.filter(now::isBefore).isPresent();
  }

  // "Live" in the list is no proof, so a trial comes first.
  private void returnIfDone(Now now) {
    if (state instanceof TargetState.Leaving && !listedAsLeaving && !isDraining(now)) {
      drainingUntil = Optional.empty();
      state =
          new TargetState.Ejected(
              TargetStatus.Reason.EJECTED, FaultKind.RETURNING, now, nextTrial(now));
    }
  }

  void reported(PoolReport report, TargetEvidence evidence, Now now, Consumer<HealthDecision> out) {
    peers.put(report.observer(), Observation.of(report, evidence, now));
    if (evidence.draining()) {
      drain(now, out);
    }
    if (state instanceof TargetState.Ejected ejected
        && ejected.reason() == TargetStatus.Reason.EJECTED) {
      faults = Math.max(faults, Math.min(evidence.round(), 7));
      evidence.trialAge().ifPresent(age -> deferTrial(ejected, now.plus(age.negated())));
    }
  }

  // Of all instances one tries the target at a time.
  private void deferTrial(TargetState.Ejected ejected, Now peerTrialAt) {
    Now next = nextTrial(peerTrialAt);
    if (next.isAfter(ejected.nextTrial())) {
      state = new TargetState.Ejected(ejected.reason(), ejected.kind(), ejected.at(), next);
    }
  }

  /** Returns the own observation and those of peers that are not too old. */
  List<Observation> observations(Now now) {
    peers.values().removeIf(o -> now.since(o.receivedAt()).compareTo(PEER_AGE_LIMIT) > 0);
    List<Observation> all = new ArrayList<>(peers.size() + 1);
    all.add(own.observation(this, now));
    all.addAll(peers.values());
    return all;
  }

  /** Tells whether a peer suspects the target and does not know yet that it works from here. */
  boolean mustContradict() {
    return peers.values().stream()
        .filter(peer -> peer.stalledSince(cleanSince))
        .map(peer -> peer.stall().orElseThrow().plus(Observation.MARGIN))
        .anyMatch(
            needed ->
                Observation.isRefuted(needed, own.success(), own.progress())
                    && !Observation.isRefuted(needed, toldSuccess, toldProgress));
  }

  void told() {
    toldSuccess = own.success();
    toldProgress = own.progress();
  }

  Observation ownObservation(Now now) {
    return own.observation(this, now);
  }

  Optional<Now> trialStartedAt() {
    return state instanceof TargetState.Trying trying
        ? Optional.of(trying.startedAt())
        : Optional.empty();
  }
}
