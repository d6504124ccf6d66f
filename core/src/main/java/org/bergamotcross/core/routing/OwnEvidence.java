package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.bergamotcross.kernel.ClockReading;

/** The evidence of this instance on one target, from its own requests. */
final class OwnEvidence {
  private static final double MIN_EWMA_WEIGHT = 0.2;
  private static final int FIRST_SERVER_ERROR = 500;

  /** No request lasts longer than 60 s, so the end of an older attempt was lost. */
  private static final Duration MAX_ATTEMPT_AGE = Duration.ofSeconds(90);

  private final Map<String, ClockReading> awaitingHead = new LinkedHashMap<>();
  private final Map<String, ClockReading> receivingBody = new HashMap<>();
  private final DecayingCount failures = new DecayingCount();
  private final DecayingCount outcomes = new DecayingCount();
  private OptionalDouble meanLatencyNanos = OptionalDouble.empty();
  private Optional<ClockReading> stallStart = Optional.empty();
  private Optional<ClockReading> successStart = Optional.empty();
  private Optional<ClockReading> progressAt = Optional.empty();
  private Optional<ClockReading> slowSince = Optional.empty();
  private Optional<ClockReading> failureStart = Optional.empty();
  private int openStallCount;
  private int endedStallCount;
  private double inFlightNanos;
  private ClockReading inFlightCountedUntil;
  private ClockReading meanUpdatedAt;

  OwnEvidence(ClockReading now) {
    this.inFlightCountedUntil = now;
    this.meanUpdatedAt = now;
  }

  void onAttemptStarted(String attempt, ClockReading now) {
    accumulateInFlight(now);
    awaitingHead.put(attempt, now);
  }

  /**
   * Excludes an attempt from stall detection: once the response head has arrived, a slow caller may
   * prolong it.
   */
  void onResponseHead(String attempt) {
    ClockReading start = awaitingHead.remove(attempt);
    if (start != null) {
      receivingBody.put(attempt, start);
    }
  }

  void onAttemptEnded(
      String attempt,
      SendResult result,
      Duration timeToHead,
      Duration threshold,
      ClockReading now) {
    accumulateInFlight(now);
    onResponseHead(attempt);
    ClockReading start = receivingBody.remove(attempt);
    if (start != null) {
      if (now.since(start).compareTo(threshold) >= 0 && !isRefuted(start)) {
        endedStallCount++;
      }
      classify(start, result, timeToHead, threshold, now);
    }
  }

  private void classify(
      ClockReading start,
      SendResult result,
      Duration timeToHead,
      Duration threshold,
      ClockReading now) {
    switch (result) {
      case SendResult.Completed completed when completed.status() >= FIRST_SERVER_ERROR ->
          recordFailure(start, now);
      case SendResult.Completed ignored -> recordSuccess(start, timeToHead, threshold, now);
      case SendResult.ConnectFailed ignored -> recordFailure(start, now);
      case SendResult.Broken ignored -> recordFailure(start, now);
      // A timeout below the stall threshold, such as 5 ms, is no evidence about the target.
      case SendResult.TimedOut ignored -> {
        if (now.since(start).compareTo(threshold) >= 0) {
          recordFailure(start, now);
        }
      }
      // Load shedding is no failure; the target chooser applies a cooldown.
      case SendResult.Shed ignored -> {}
      case SendResult.Cancelled ignored -> {}
    }
  }

  private void recordSuccess(
      ClockReading start, Duration timeToHead, Duration threshold, ClockReading now) {
    outcomes.increment(now);
    double nanos = timeToHead.toNanos();
    double previousNanos = meanLatencyNanos.orElse(nanos);
    // The longer the idle time before, the more the newest latency weighs.
    double idleTime =
        now.since(meanUpdatedAt).toNanos() / (double) DecayingCount.TIME_CONSTANT.toNanos();
    double weight = Math.max(MIN_EWMA_WEIGHT, 1 - Math.exp(-idleTime));
    meanLatencyNanos = OptionalDouble.of(previousNanos * (1 - weight) + nanos * weight);
    meanUpdatedAt = now;
    progressAt = Optional.of(now);
    if (timeToHead.compareTo(threshold) <= 0) {
      successStart = Optional.of(latest(successStart, start));
    }
    if (stallStart.isPresent() && isRefuted(stallStart.get())) {
      endedStallCount = 0;
    }
  }

  private void recordFailure(ClockReading start, ClockReading now) {
    outcomes.increment(now);
    failures.increment(now);
    failureStart = Optional.of(latest(failureStart, start));
  }

  private static ClockReading latest(Optional<ClockReading> known, ClockReading start) {
    return known.filter(k -> k.isAfter(start)).orElse(start);
  }

  /** Excludes a pause of this process from the age of the requests in flight. */
  void excludePause(Duration pause, ClockReading now) {
    awaitingHead.replaceAll(
        (attempt, start) -> {
          ClockReading later = start.plus(pause);
          return later.isAfter(now) ? now : later;
        });
  }

  /**
   * Records the first request in flight that is older than the threshold and was not followed by a
   * success.
   */
  void updateStalls(Duration threshold, ClockReading now) {
    awaitingHead.values().removeIf(start -> now.since(start).compareTo(MAX_ATTEMPT_AGE) > 0);
    receivingBody.values().removeIf(start -> now.since(start).compareTo(MAX_ATTEMPT_AGE) > 0);
    openStallCount = 0;
    slowSince = Optional.empty();
    for (ClockReading start : awaitingHead.values()) {
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

  /** Returns whether the target has completed later requests and is therefore busy, not stalled. */
  private boolean isRefuted(ClockReading start) {
    return Observation.isRefuted(start, successStart, progressAt);
  }

  private void recordStall(ClockReading start) {
    if (stallStart.isEmpty() || isRefuted(stallStart.get())) {
      stallStart = Optional.of(start);
    }
  }

  /** Returns whether a request awaits its response head or the mean latency is recent. */
  boolean hasRecentLatency(ClockReading now) {
    return !awaitingHead.isEmpty()
        || (meanLatencyNanos.isPresent()
            && now.since(meanUpdatedAt).compareTo(DecayingCount.TIME_CONSTANT) < 0);
  }

  /**
   * Returns the mean time to the response head, or the age of the oldest request in flight if that
   * is larger and included.
   */
  OptionalDouble latencyEstimateNanos(boolean includesInFlight, ClockReading now) {
    if (!includesInFlight || awaitingHead.isEmpty()) {
      return meanLatencyNanos;
    }
    ClockReading oldest = awaitingHead.values().iterator().next();
    if (successStart.isPresent() && successStart.get().isAfter(oldest)) {
      return meanLatencyNanos;
    }
    return OptionalDouble.of(
        Math.max(meanLatencyNanos.orElse(0), (double) now.since(oldest).toNanos()));
  }

  Optional<ClockReading> successStart() {
    return successStart;
  }

  Optional<ClockReading> progressAt() {
    return progressAt;
  }

  Observation observation(TargetHealth target, ClockReading now) {
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

  /** Discards failures from before a readmission, which are no evidence on its present health. */
  void resetFailures() {
    failures.reset();
    outcomes.reset();
  }

  /** Returns the mean number of requests in flight since the last call. */
  double takeAverageInFlight(ClockReading now, Duration interval) {
    accumulateInFlight(now);
    double average = inFlightNanos / Math.max(1, interval.toNanos());
    inFlightNanos = 0;
    return average;
  }

  private void accumulateInFlight(ClockReading now) {
    inFlightNanos +=
        (double) (awaitingHead.size() + receivingBody.size())
            * now.since(inFlightCountedUntil).toNanos();
    inFlightCountedUntil = now;
  }
}
