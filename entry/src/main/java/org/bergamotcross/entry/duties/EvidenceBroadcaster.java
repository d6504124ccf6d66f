package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.routing.PoolHealth;
import org.bergamotcross.core.routing.PoolHealthReport;
import org.bergamotcross.core.routing.TargetEvidence;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.kernel.ClockReading;

/**
 * Broadcasts evidence about targets to peers: at once when a target becomes suspect, otherwise
 * after a change, and while there is evidence at least once per {@link #MAX_INTERVAL}.
 */
final class EvidenceBroadcaster {
  static final Duration MIN_INTERVAL = Duration.ofMillis(500);

  /** Shorter than the time for which peers keep evidence, so that it does not expire. */
  private static final Duration MAX_INTERVAL = Duration.ofSeconds(1);

  /** The properties compared to detect a change; ages are left out because they always change. */
  private record ComparedEvidence(
      String target, boolean stalled, long failures, boolean inTrial, int round, boolean draining) {
    static ComparedEvidence of(TargetEvidence evidence) {
      return new ComparedEvidence(
          evidence.target().value(),
          evidence.stallAge().isPresent(),
          Math.round(evidence.failures()),
          evidence.trialAge().isPresent(),
          evidence.backoffLevel(),
          evidence.draining());
    }
  }

  private record SentReport(List<ComparedEvidence> evidence, ClockReading sentAt) {}

  private final PeerExchange exchange;
  private final Map<PoolId, SentReport> lastSent = new HashMap<>();

  EvidenceBroadcaster(PeerExchange exchange) {
    this.exchange = exchange;
  }

  /** Sends the evidence about a pool if it is due. */
  void sendIfDue(PoolHealth health, ClockReading now) {
    boolean urgent = health.takeReportUrgency();
    SentReport last = lastSent.get(health.poolId());
    if (!urgent && last != null && now.since(last.sentAt()).compareTo(MIN_INTERVAL) < 0) {
      return;
    }
    Optional<PoolHealthReport> report = health.report(now);
    if (report.isEmpty()) {
      lastSent.remove(health.poolId());
      return;
    }
    List<ComparedEvidence> current =
        report.get().targets().stream().map(ComparedEvidence::of).toList();
    boolean isDue = last == null || now.since(last.sentAt()).compareTo(MAX_INTERVAL) >= 0;
    if (urgent || isDue || !current.equals(last.evidence())) {
      exchange.sendAll(EvidenceMessage.KIND, EvidenceMessage.fromReport(report.get()));
      lastSent.put(health.poolId(), new SentReport(current, now));
    }
  }
}
