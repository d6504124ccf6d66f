package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.FailureRisk;
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
  private final Consumer<OutcomeMessage> peers;
  private final Map<String, Integer> completed = new HashMap<>();
  private final Map<String, Integer> failed = new HashMap<>();
  private Now sentAt;

  OutcomeSharing(FailureRisk risks, Consumer<OutcomeMessage> peers, Now now) {
    this.risks = risks;
    this.peers = peers;
    this.sentAt = now;
  }

  void succeeded(TargetId target, Now now) {
    boolean isNews = risks.standing(target, now) != FailureRisk.Standing.SOUND;
    risks.succeeded(target, 1, now);
    completed.merge(target.value(), 1, Integer::sum);
    if (isNews) {
      send(now);
    }
  }

  void failed(TargetId target, Now now) {
    boolean isNews = risks.standing(target, now) != FailureRisk.Standing.FAILING;
    risks.failed(target, now);
    failed.merge(target.value(), 1, Integer::sum);
    if (isNews) {
      send(now);
    }
  }

  void reported(OutcomeMessage message, Now now) {
    message.completed().forEach((id, count) -> risks.succeeded(new TargetId(id), count, now));
    message
        .failed()
        .forEach(
            (id, count) -> {
              for (int i = 0; i < count; i++) {
                risks.failed(new TargetId(id), now);
              }
            });
  }

  /** Sends what has gathered when it is due. */
  void tick(Now now) {
    boolean isEmpty = completed.isEmpty() && failed.isEmpty();
    if (!isEmpty && now.since(sentAt).compareTo(INTERVAL) >= 0) {
      send(now);
    }
  }

  private void send(Now now) {
    peers.accept(new OutcomeMessage(completed, failed));
    completed.clear();
    failed.clear();
    sentAt = now;
  }
}
