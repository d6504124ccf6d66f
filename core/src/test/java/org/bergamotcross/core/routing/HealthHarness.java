package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.ClockReading;

/** Drives the pool health of one simulated instance with its own clock. */
final class HealthHarness {
  static final SendResult OK = new SendResult.Completed(200, false);
  static final SendResult ERROR = new SendResult.Completed(500, false);
  static final Duration FAST = Duration.ofMillis(20);
  private static final Duration TICK = Duration.ofMillis(50);

  final PoolHealth health;
  final List<HealthDecision> decisions = new ArrayList<>();
  private ClockReading now;
  private int attempts;

  /** Instance {@code i} runs in failure domain {@code i % 3}. */
  HealthHarness(int instance, Pool pool, ClockReading start) {
    this.now = start;
    InstanceId id = new InstanceId("entry-" + instance);
    this.health = new PoolHealth(id, 1, Fixtures.domain(instance % 3), pool, start);
  }

  ClockReading now() {
    return now;
  }

  /** Advances the clock with a tick every 50 ms. */
  void advance(Duration duration) {
    ClockReading end = now.plus(duration);
    while (now.isBefore(end)) {
      ClockReading next = now.plus(TICK);
      now = next.isAfter(end) ? end : next;
      decisions.addAll(health.tick(now));
    }
  }

  /** Advances the clock without a tick, as if the process were paused. */
  void pauseProcess(Duration duration) {
    now = now.plus(duration);
  }

  void stepWallClock(Duration step) {
    now = new ClockReading(now.monotonicNanos(), now.wallMillis() + step.toMillis());
  }

  String start(int target) {
    String attempt = "a" + attempts++;
    decisions.addAll(health.onAttemptStarted(attempt, Fixtures.id(target), now));
    return attempt;
  }

  void end(String attempt, int target, SendResult result, Duration time) {
    decisions.addAll(health.onAttemptEnded(attempt, Fixtures.id(target), result, time, now));
  }

  /** Runs one request that takes 20 ms. */
  void request(int target, SendResult result) {
    String attempt = start(target);
    now = now.plus(FAST);
    end(attempt, target, result, FAST);
  }

  void successes(int... targets) {
    for (int target : targets) {
      request(target, OK);
    }
  }

  Optional<PoolHealthReport> report() {
    return health.report(now);
  }

  /** Delivers the current report to peers, whose clocks show the same time. */
  void sendReportTo(HealthHarness... peers) {
    report()
        .ifPresent(
            report -> {
              for (HealthHarness peer : peers) {
                peer.decisions.addAll(peer.health.onPeerReport(report, peer.now));
              }
            });
  }

  TargetStatus status(int target) {
    return health.statuses(now).getOrDefault(Fixtures.id(target), new TargetStatus.Available(1.0));
  }

  boolean isUnavailable(int target) {
    return !(status(target) instanceof TargetStatus.Available);
  }

  <T extends HealthDecision> List<T> decisionsOf(Class<T> type) {
    return decisions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  List<TargetId> ejectedTargets() {
    return decisionsOf(HealthDecision.Ejected.class).stream()
        .map(HealthDecision.Ejected::target)
        .toList();
  }
}
