package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.FailureRisk;
import org.bergamotcross.core.routing.FailureRisk.RiskLevel;
import org.bergamotcross.core.routing.PoolLoad;
import org.bergamotcross.kernel.ClockReading;

/**
 * Updates the estimates of targets from request outcomes of this instance and its peers, and
 * broadcasts the outcomes of this instance.
 *
 * <p>A failure at a target whose risk level is not {@code HIGH}, and a success at a target whose
 * risk level is not {@code LOW}, change the choices of peers and are sent at once. Other outcomes
 * only keep the estimates current and are sent in batches.
 */
final class OutcomeBroadcaster {
  /**
   * Shorter than the time after which a target of low risk without new outcomes becomes uncertain.
   */
  static final Duration BROADCAST_INTERVAL = Duration.ofMillis(1_500);

  private final FailureRisk risks;
  private final PoolLoad load;
  private final Consumer<OutcomeMessage> peerSender;
  private final Map<String, Integer> completed = new HashMap<>();
  private final Map<String, Integer> failed = new HashMap<>();
  private final Map<String, Integer> unreachable = new HashMap<>();
  private ClockReading sentAt;

  OutcomeBroadcaster(
      FailureRisk risks, PoolLoad load, Consumer<OutcomeMessage> peerSender, ClockReading now) {
    this.risks = risks;
    this.load = load;
    this.peerSender = peerSender;
    this.sentAt = now;
  }

  void onSuccess(TargetId target, ClockReading now) {
    boolean isUrgent = risks.riskLevel(target, now) != RiskLevel.LOW;
    risks.recordSuccess(target, now);
    load.recordCompletions(target, 1, now);
    count(completed, target, isUrgent, now);
  }

  void onFailure(TargetId target, ClockReading now) {
    boolean isUrgent = risks.riskLevel(target, now) != RiskLevel.HIGH;
    risks.recordFailure(target, now);
    count(failed, target, isUrgent, now);
  }

  void onUnreachable(TargetId target, ClockReading now) {
    boolean isUrgent = risks.riskLevel(target, now) != RiskLevel.HIGH;
    risks.recordUnreachable(target, now);
    count(unreachable, target, isUrgent, now);
  }

  private void count(
      Map<String, Integer> counts, TargetId target, boolean isUrgent, ClockReading now) {
    counts.merge(target.value(), 1, Integer::sum);
    if (isUrgent) {
      send(now);
    }
  }

  void onPeerOutcomes(OutcomeMessage message, ClockReading now) {
    message
        .completed()
        .forEach(
            (id, count) -> {
              risks.recordPeerSuccesses(new TargetId(id), count, now);
              load.recordCompletions(new TargetId(id), count, now);
            });
    message.failed().keySet().forEach(id -> risks.recordFailure(new TargetId(id), now));
    message
        .unreachable()
        .keySet()
        .forEach(id -> risks.recordPeerUnreachable(new TargetId(id), now));
  }

  /** Sends the collected outcomes if the interval has passed. */
  void sendIfDue(ClockReading now) {
    boolean isEmpty = completed.isEmpty() && failed.isEmpty() && unreachable.isEmpty();
    if (!isEmpty && now.since(sentAt).compareTo(BROADCAST_INTERVAL) >= 0) {
      send(now);
    }
  }

  private void send(ClockReading now) {
    peerSender.accept(new OutcomeMessage(completed, failed, unreachable));
    completed.clear();
    failed.clear();
    unreachable.clear();
    sentAt = now;
  }
}
