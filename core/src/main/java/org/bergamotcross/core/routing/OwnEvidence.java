package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.bergamotcross.kernel.Now;

/** What this instance has seen of one target, from its own requests. */
final class OwnEvidence {
  private static final double MIN_EWMA_WEIGHT = 0.2;
  private static final int FIRST_SERVER_ERROR = 500;

  /** No request lasts longer than 60 s, so the end of an older one was lost. */
  private static final Duration MAX_ATTEMPT_AGE = Duration.ofSeconds(90);

  private final Map<String, Now> awaitingHead = new LinkedHashMap<>();
  private final Map<String, Now> receivingBody = new HashMap<>();
  private final DecayingCount failures = new DecayingCount();
  private final DecayingCount outcomes = new DecayingCount();
  private OptionalDouble meanLatencyNanos = OptionalDouble.empty();
  private Optional<Now> stallStart = Optional.empty();
  private Optional<Now> successStart = Optional.empty();
  private Optional<Now> progressAt = Optional.empty();
  private Optional<Now> slowSince = Optional.empty();
  private Optional<Now> failureStart = Optional.empty();
  private int openStallCount;
  private int endedStallCount;
  private double inFlightNanos;
  private Now inFlightCountedUntil;
  private Now meanUpdatedAt;

  OwnEvidence(Now now) {
    this.inFlightCountedUntil = now;
    this.meanUpdatedAt = now;
  }

  void onAttemptStarted(String attempt, Now now) {
    accumulateInFlight(now);
    awaitingHead.put(attempt, now);
  }

  /** From the head on, a slow caller can make the request last, so its age says nothing. */
  void receivingBody(String attempt) {
    Now start = awaitingHead.remove(attempt);
    if (start != null) {
      receivingBody.put(attempt, start);
    }
  }

  void onAttemptEnded(
      String attempt, SendResult result, Duration timeToHead, Duration threshold, Now now) {
    accumulateInFlight(now);
    receivingBody(attempt);
    Now start = receivingBody.remove(attempt);
    if (start != null) {
      if (now.since(start).compareTo(threshold) >= 0 && !isRefuted(start)) {
        endedStallCount++;
      }
      classify(start, result, timeToHead, threshold, now);
    }
  }

  private void classify(
      Now start, SendResult result, Duration timeToHead, Duration threshold, Now now) {
    switch (result) {
      case SendResult.Completed completed when completed.status() >= FIRST_SERVER_ERROR ->
          recordFailure(start, now);
      case SendResult.Completed ignored -> recordSuccess(start, timeToHead, threshold, now);
      case SendResult.ConnectFailed ignored -> recordFailure(start, now);
      case SendResult.Broken ignored -> recordFailure(start, now);
      // A caller that allows 5 ms says nothing about the target.
      case SendResult.TimedOut ignored -> {
        if (now.since(start).compareTo(threshold) >= 0) {
          recordFailure(start, now);
        }
      }
      // A target that sheds is alive; the chooser leaves it alone for a moment.
      case SendResult.Shed ignored -> {}
      case SendResult.Cancelled ignored -> {}
    }
  }

  private void recordSuccess(Now start, Duration timeToHead, Duration threshold, Now now) {
    outcomes.increment(now);
    double nanos = timeToHead.toNanos();
    double known = meanLatencyNanos.orElse(nanos);
    // After a quiet time the old average says less.
    double quiet =
        now.since(meanUpdatedAt).toNanos() / (double) DecayingCount.TIME_CONSTANT.toNanos();
    double share = Math.max(MIN_EWMA_WEIGHT, 1 - Math.exp(-quiet));
    meanLatencyNanos = OptionalDouble.of(known * (1 - share) + nanos * share);
    meanUpdatedAt = now;
    progressAt = Optional.of(now);
    if (timeToHead.compareTo(threshold) <= 0) {
      successStart = Optional.of(latest(successStart, start));
    }
    if (stallStart.isPresent() && isRefuted(stallStart.get())) {
      endedStallCount = 0;
    }
  }

  private void recordFailure(Now start, Now now) {
    outcomes.increment(now);
    failures.increment(now);
    failureStart = Optional.of(latest(failureStart, start));
  }

  private static Now latest(Optional<Now> known, Now start) {
    return known.filter(k -> k.isAfter(start)).orElse(start);
  }

  /** Does not count a time in which this process did not run against the open requests. */
  void excludePause(Duration pause, Now now) {
    awaitingHead.replaceAll(
        (attempt, start) -> {
          Now later = start.plus(pause);
          return later.isAfter(now) ? now : later;
        });
  }

  /** Notes the first open request that is older than the threshold and has no later success. */
  void updateStalls(Duration threshold, Now now) {
    awaitingHead.values().removeIf(start -> now.since(start).compareTo(MAX_ATTEMPT_AGE) > 0);
    receivingBody.values().removeIf(start -> now.since(start).compareTo(MAX_ATTEMPT_AGE) > 0);
    openStallCount = 0;
    slowSince = Optional.empty();
    for (Now start : awaitingHead.values()) {
      Duration age = now.since(start);
      if (age.multipliedBy(2).compareTo(threshold) < 0) {
        return;
      }
      if (!isRefuted(start)) {
        slowSince = slowSince.or(() -> Optional.of(start));
        if (age.compareTo(threshold) >= 0) {
          openStallCount++;
          recordStall(start);
        }
      }
    }
  }

  /** A target that completes other requests is busy, not stalled. */
  private boolean isRefuted(Now start) {
    return Observation.isRefuted(start, successStart, progressAt);
  }

  private void recordStall(Now start) {
    if (stallStart.isEmpty() || isRefuted(stallStart.get())) {
      stallStart = Optional.of(start);
    }
  }

  /** Tells whether the average or an open request is from the last few seconds. */
  boolean hasRecentLatency(Now now) {
    return !awaitingHead.isEmpty()
        || (meanLatencyNanos.isPresent()
            && now.since(meanUpdatedAt).compareTo(DecayingCount.TIME_CONSTANT) < 0);
  }

  /** Returns the average time to the head, or the age of an open request if that is larger. */
  OptionalDouble latencyEstimateNanos(boolean withOpen, Now now) {
    if (!withOpen || awaitingHead.isEmpty()) {
      return meanLatencyNanos;
    }
    Now oldest = awaitingHead.values().iterator().next();
    if (successStart.isPresent() && successStart.get().isAfter(oldest)) {
      return meanLatencyNanos;
    }
    return OptionalDouble.of(
        Math.max(meanLatencyNanos.orElse(0), (double) now.since(oldest).toNanos()));
  }

  Optional<Now> successStart() {
    return successStart;
  }

  Optional<Now> progressAt() {
    return progressAt;
  }

  Observation observation(TargetHealth target, Now now) {
    return new Observation(
        target.self(),
        target.ownDomain(),
        stallStart,
        successStart,
        progressAt,
        slowSince,
        failureStart,
        openStallCount + endedStallCount,
        failures.value(now),
        outcomes.value(now),
        now);
  }

  /** Forgets failures from before a readmission, which say nothing about the target now. */
  void resetFailures() {
    failures.reset();
    outcomes.reset();
  }

  /** Returns the average number of open requests since the last call. */
  double takeAverageInFlight(Now now, Duration interval) {
    accumulateInFlight(now);
    double average = inFlightNanos / Math.max(1, interval.toNanos());
    inFlightNanos = 0;
    return average;
  }

  private void accumulateInFlight(Now now) {
    inFlightNanos +=
        (double) (awaitingHead.size() + receivingBody.size())
            * now.since(inFlightCountedUntil).toNanos();
    inFlightCountedUntil = now;
  }
}
