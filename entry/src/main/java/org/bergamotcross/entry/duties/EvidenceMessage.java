package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.routing.PoolHealthReport;
import org.bergamotcross.core.routing.TargetEvidence;
import org.bergamotcross.entry.PeerExchange.Sender;

/**
 * The wire form of a {@link PoolHealthReport}; the sender is the observer. Durations are in
 * milliseconds.
 */
record EvidenceMessage(
    String failureDomain,
    long sequence,
    String pool,
    Optional<Long> usualMillis,
    List<Item> targets) {
  static final String KIND = "evidence";

  /** The wire form of a {@link TargetEvidence}. */
  record Item(
      String target,
      Optional<Long> stallMillis,
      Optional<Long> successMillis,
      Optional<Long> progressMillis,
      Optional<Long> slowMillis,
      Optional<Long> failureMillis,
      double failures,
      double ends,
      Optional<Long> trialMillis,
      int round,
      boolean draining) {

    private static Item fromEvidence(TargetEvidence evidence) {
      return new Item(
          evidence.target().value(),
          evidence.stallAge().map(Duration::toMillis),
          evidence.successAge().map(Duration::toMillis),
          evidence.progressAge().map(Duration::toMillis),
          evidence.slowAge().map(Duration::toMillis),
          evidence.failureAge().map(Duration::toMillis),
          evidence.failures(),
          evidence.outcomes(),
          evidence.trialAge().map(Duration::toMillis),
          evidence.backoffLevel(),
          evidence.draining());
    }

    private TargetEvidence toEvidence() {
      return new TargetEvidence(
          new TargetId(target),
          stallMillis.map(Duration::ofMillis),
          successMillis.map(Duration::ofMillis),
          progressMillis.map(Duration::ofMillis),
          slowMillis.map(Duration::ofMillis),
          failureMillis.map(Duration::ofMillis),
          failures,
          ends,
          trialMillis.map(Duration::ofMillis),
          round,
          draining);
    }
  }

  static EvidenceMessage fromReport(PoolHealthReport report) {
    return new EvidenceMessage(
        report.failureDomain().value(),
        report.sequence(),
        report.pool().value(),
        report.baselineLatency().map(Duration::toMillis),
        report.targets().stream().map(Item::fromEvidence).toList());
  }

  PoolHealthReport toReport(Sender from) {
    return new PoolHealthReport(
        from.id(),
        from.incarnation(),
        new FailureDomain(failureDomain),
        sequence,
        new PoolId(pool),
        usualMillis.map(Duration::ofMillis),
        targets.stream().map(Item::toEvidence).toList());
  }
}
