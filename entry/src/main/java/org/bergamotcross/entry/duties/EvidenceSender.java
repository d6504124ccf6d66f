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
import org.bergamotcross.kernel.Now;

/** Sends evidence to peers: at once when a target becomes suspect, else what changed. */
final class EvidenceSender {
  static final Duration INTERVAL = Duration.ofMillis(500);

  /** Shorter than the time for which peers keep evidence, so that it does not lapse. */
  private static final Duration REPEAT = Duration.ofSeconds(1);

  /** What is compared to find a change; ages always change. */
  private record Summary(
      String target, boolean stalled, long failures, boolean trying, int round, boolean draining) {
    static Summary of(TargetEvidence evidence) {
      return new Summary(
          evidence.target().value(),
          evidence.stallAge().isPresent(),
          Math.round(evidence.failures()),
          evidence.trialAge().isPresent(),
          evidence.backoffLevel(),
          evidence.draining());
    }
  }

  private record Sent(List<Summary> summary, Now at) {}

  private final PeerExchange exchange;
  private final Map<PoolId, Sent> sent = new HashMap<>();

  EvidenceSender(PeerExchange exchange) {
    this.exchange = exchange;
  }

  /** Sends what is due for a pool. */
  void send(PoolHealth health, Now now) {
    boolean urgent = health.takeReportUrgency();
    Sent last = sent.get(health.poolId());
    if (!urgent && last != null && now.since(last.at()).compareTo(INTERVAL) < 0) {
      return;
    }
    Optional<PoolHealthReport> report = health.report(now);
    if (report.isEmpty()) {
      sent.remove(health.poolId());
      return;
    }
    List<Summary> summary = report.get().targets().stream().map(Summary::of).toList();
    boolean isDue = last == null || now.since(last.at()).compareTo(REPEAT) >= 0;
    if (urgent || isDue || !summary.equals(last.summary())) {
      exchange.sendAll(EvidenceMessage.KIND, EvidenceMessage.of(report.get()));
      sent.put(health.poolId(), new Sent(summary, now));
    }
  }
}
