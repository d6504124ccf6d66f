package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.routing.FailureRisk;
import org.bergamotcross.core.routing.FailureRisk.RiskLevel;
import org.bergamotcross.core.routing.PoolLoad;
import org.bergamotcross.core.routing.TargetNotices;
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
  private final TargetNotices notices;
  private final OutcomeSender peerSender;
  private final Map<String, Integer> completed = new HashMap<>();
  private final Map<String, Integer> failed = new HashMap<>();
  private final Map<String, Integer> unreachable = new HashMap<>();
  private final Map<String, Long> leaving = new HashMap<>();
  private ClockReading sentAt;

  OutcomeBroadcaster(
      FailureRisk risks,
      PoolLoad load,
      TargetNotices notices,
      OutcomeSender peerSender,
      ClockReading now) {
    this.risks = risks;
    this.load = load;
    this.notices = notices;
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

  /** Records that a target announced that it is leaving; returns whether this was not known. */
  boolean onLeaving(Target target, ClockReading now) {
    boolean isNew = notices.onLeaving(target, now);
    if (isNew) {
      leaving.put(target.id().value(), target.startedAtMillis());
      send(now);
    }
    return isNew;
  }

  /** Passes the known leaving targets on to a peer that has started and knows none. */
  void sendLeavingTargets(InstanceId peer) {
    Map<String, Long> starts = new HashMap<>();
    notices.leavingStarts().forEach((target, start) -> starts.put(target.value(), start));
    if (!starts.isEmpty()) {
      peerSender.send(peer, new OutcomeMessage(Map.of(), Map.of(), Map.of(), starts));
    }
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
    message.leaving().forEach((id, start) -> notices.onLeaving(new TargetId(id), start, now));
  }

  /** Sends what this instance saw of pools, which need not wait for outcomes. */
  void sendPools(Map<String, Long> pools) {
    peerSender.sendAll(new OutcomeMessage(Map.of(), Map.of(), Map.of(), Map.of(), pools));
  }

  /** Sends the collected outcomes if the interval has passed. */
  void sendIfDue(ClockReading now) {
    boolean isEmpty = completed.isEmpty() && failed.isEmpty() && unreachable.isEmpty();
    if (!isEmpty && now.since(sentAt).compareTo(BROADCAST_INTERVAL) >= 0) {
      send(now);
    }
  }

  private void send(ClockReading now) {
    peerSender.sendAll(new OutcomeMessage(completed, failed, unreachable, leaving));
    completed.clear();
    failed.clear();
    unreachable.clear();
    leaving.clear();
    sentAt = now;
  }
}
