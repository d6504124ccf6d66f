package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.FailureRisk;
import org.bergamotcross.core.routing.FailureRisk.RiskLevel;
import org.bergamotcross.core.routing.PoolLoad;
import org.bergamotcross.kernel.Now;

/**
 * Keeps the estimates of the targets from own and peers' outcomes, and tells peers the own ones.
 *
 * <p>A failure, and a success of a target that is not known to be sound, change what peers choose
 * and are told at once. Other successes only keep the estimates fresh and are told together.
 */
final class OutcomeSharing {
  /** Shorter than the time in which the estimate of a sound target becomes doubtful. */
  static final Duration INTERVAL = Duration.ofMillis(1_500);

  private final FailureRisk risks;
  private final PoolLoad load;
  private final Consumer<OutcomeMessage> peers;
  private final Map<String, Integer> completed = new HashMap<>();
  private final Map<String, Integer> failed = new HashMap<>();
  private final Map<String, Integer> unreachable = new HashMap<>();
  private Now sentAt;

  OutcomeSharing(FailureRisk risks, PoolLoad load, Consumer<OutcomeMessage> peers, Now now) {
    this.risks = risks;
    this.load = load;
    this.peers = peers;
    this.sentAt = now;
  }

  void succeeded(TargetId target, Now now) {
    boolean isNews = risks.riskLevel(target, now) != RiskLevel.LOW;
    risks.recordSuccess(target, now);
    load.recordCompletions(target, 1, now);
    note(completed, target, isNews, now);
  }

  void failed(TargetId target, Now now) {
    boolean isNews = risks.riskLevel(target, now) != RiskLevel.HIGH;
    risks.recordFailure(target, now);
    note(failed, target, isNews, now);
  }

  void unreachable(TargetId target, Now now) {
    boolean isNews = risks.riskLevel(target, now) != RiskLevel.HIGH;
    risks.recordUnreachable(target, now);
    note(unreachable, target, isNews, now);
  }

  private void note(Map<String, Integer> counts, TargetId target, boolean isNews, Now now) {
    counts.merge(target.value(), 1, Integer::sum);
    if (isNews) {
      send(now);
    }
  }

  void reported(OutcomeMessage message, Now now) {
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

  /** Sends what has gathered when it is due. */
  void tick(Now now) {
    boolean isEmpty = completed.isEmpty() && failed.isEmpty() && unreachable.isEmpty();
    if (!isEmpty && now.since(sentAt).compareTo(INTERVAL) >= 0) {
      send(now);
    }
  }

  private void send(Now now) {
    peers.accept(new OutcomeMessage(completed, failed, unreachable));
    completed.clear();
    failed.clear();
    unreachable.clear();
    sentAt = now;
  }
}
