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
  private static final double NEWEST_SHARE = 0.2;
  private static final int FIRST_SERVER_ERROR = 500;

  /** No request lasts longer than 60 s, so the end of an older one was lost. */
  private static final Duration LOST_AFTER = Duration.ofSeconds(90);

  private final Map<String, Now> open = new LinkedHashMap<>();
  private final Map<String, Now> answering = new HashMap<>();
  private final DecayingCount failures = new DecayingCount();
  private final DecayingCount ends = new DecayingCount();
  private OptionalDouble averageNanos = OptionalDouble.empty();
  private Optional<Now> stall = Optional.empty();
  private Optional<Now> success = Optional.empty();
  private Optional<Now> progress = Optional.empty();
  private Optional<Now> slowSince = Optional.empty();
  private Optional<Now> failure = Optional.empty();
  private int openStalls;
  private int endedStalls;
  private double openNanos;
  private Now countedUntil;
  private Now averagedAt;

  OwnEvidence(Now now) {
    this.countedUntil = now;
    this.averagedAt = now;
  }

  void started(String attempt, Now now) {
    countOpen(now);
    open.put(attempt, now);
  }

  /** From the head on, a slow caller can make the request last, so its age says nothing. */
  void answering(String attempt) {
    Now start = open.remove(attempt);
    if (start != null) {
      answering.put(attempt, start);
    }
  }

  void ended(String attempt, SendResult result, Duration timeToHead, Duration threshold, Now now) {
    countOpen(now);
    answering(attempt);
    Now start = answering.remove(attempt);
    if (start != null) {
      if (now.since(start).compareTo(threshold) >= 0 && !isRefuted(start)) {
        endedStalls++;
      }
      judge(start, result, timeToHead, threshold, now);
    }
  }

  private void judge(
      Now start, SendResult result, Duration timeToHead, Duration threshold, Now now) {
    switch (result) {
      case SendResult.Completed completed when completed.status() >= FIRST_SERVER_ERROR ->
          failed(start, now);
      case SendResult.Completed ignored -> completed(start, timeToHead, threshold, now);
      case SendResult.ConnectFailed ignored -> failed(start, now);
      case SendResult.Broken ignored -> failed(start, now);
      // A caller that allows 5 ms says nothing about the target.
      case SendResult.TimedOut ignored -> {
        if (now.since(start).compareTo(threshold) >= 0) {
          failed(start, now);
        }
      }
      // A target that sheds is alive; the chooser leaves it alone for a moment.
      case SendResult.Shed ignored -> {}
      case SendResult.Cancelled ignored -> {}
    }
  }

  private void completed(Now start, Duration timeToHead, Duration threshold, Now now) {
    ends.add(now);
    double nanos = timeToHead.toNanos();
    double known = averageNanos.orElse(nanos);
    // After a quiet time the old average says less.
    double quiet = now.since(averagedAt).toNanos() / (double) DecayingCount.MEAN_AGE.toNanos();
    double share = Math.max(NEWEST_SHARE, 1 - Math.exp(-quiet));
    averageNanos = OptionalDouble.of(known * (1 - share) + nanos * share);
    averagedAt = now;
    progress = Optional.of(now);
    if (timeToHead.compareTo(threshold) <= 0) {
      success = Optional.of(latest(success, start));
    }
    if (stall.isPresent() && isRefuted(stall.get())) {
      endedStalls = 0;
    }
  }

  private void failed(Now start, Now now) {
    ends.add(now);
    failures.add(now);
    failure = Optional.of(latest(failure, start));
  }

  private static Now latest(Optional<Now> known, Now start) {
    return known.filter(k -> k.isAfter(start)).orElse(start);
  }

  /** Does not count a time in which this process did not run against the open requests. */
  void skip(Duration pause, Now now) {
    open.replaceAll(
        (attempt, start) -> {
          Now later = start.plus(pause);
          return later.isAfter(now) ? now : later;
        });
  }

  /** Notes the first open request that is older than the threshold and has no later success. */
  void update(Duration threshold, Now now) {
    open.values().removeIf(start -> now.since(start).compareTo(LOST_AFTER) > 0);
    answering.values().removeIf(start -> now.since(start).compareTo(LOST_AFTER) > 0);
    openStalls = 0;
    slowSince = Optional.empty();
    for (Now start : open.values()) {
      Duration age = now.since(start);
      if (age.multipliedBy(2).compareTo(threshold) < 0) {
        return;
      }
      if (!isRefuted(start)) {
        slowSince = slowSince.or(() -> Optional.of(start));
        if (age.compareTo(threshold) >= 0) {
          openStalls++;
          noteStall(start);
        }
      }
    }
  }

  /** A target that completes other requests is busy, not stalled. */
  private boolean isRefuted(Now start) {
    return Observation.isRefuted(start, success, progress);
  }

  private void noteStall(Now start) {
    if (stall.isEmpty() || isRefuted(stall.get())) {
      stall = Optional.of(start);
    }
  }

  /** Tells whether the average or an open request is from the last few seconds. */
  boolean isRecent(Now now) {
    return !open.isEmpty()
        || (averageNanos.isPresent()
            && now.since(averagedAt).compareTo(DecayingCount.MEAN_AGE) < 0);
  }

  /** Returns the average time to the head, or the age of an open request if that is larger. */
  OptionalDouble estimateNanos(boolean withOpen, Now now) {
    if (!withOpen || open.isEmpty()) {
      return averageNanos;
    }
    Now oldest = open.values().iterator().next();
    if (success.isPresent() && success.get().isAfter(oldest)) {
      return averageNanos;
    }
    return OptionalDouble.of(
        Math.max(averageNanos.orElse(0), (double) now.since(oldest).toNanos()));
  }

  Optional<Now> success() {
    return success;
  }

  Optional<Now> progress() {
    return progress;
  }

  Observation observation(TargetHealth target, Now now) {
    return new Observation(
        target.self(),
        target.ownDomain(),
        stall,
        success,
        progress,
        slowSince,
        failure,
        openStalls + endedStalls,
        failures.value(now),
        ends.value(now),
        now);
  }

  /** Forgets failures from before a readmission, which say nothing about the target now. */
  void resetFailures() {
    failures.reset();
    ends.reset();
  }

  /** Returns the average number of open requests since the last call. */
  double takeAverageOpen(Now now, Duration interval) {
    countOpen(now);
    double average = openNanos / Math.max(1, interval.toNanos());
    openNanos = 0;
    return average;
  }

  private void countOpen(Now now) {
    openNanos += (double) (open.size() + answering.size()) * now.since(countedUntil).toNanos();
    countedUntil = now;
  }
}
