package org.bergamotcross.entry.duties;

import java.util.Locale;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.routing.HealthDecision;
import org.bergamotcross.kernel.EventLog;

/** Logs an event for each health decision about a target. */
final class HealthReporter {
  private final EventLog events;

  HealthReporter(EventLog events) {
    this.events = events;
  }

  void reportDecision(PoolId pool, HealthDecision decision) {
    switch (decision) {
      case HealthDecision.Ejected ejected ->
          event("target.ejected", pool, decision, ejected.evidence())
              .with("left", ejected.remaining())
              .with("trial-in-ms", ejected.nextTrialIn().toMillis())
              .emit();
      case HealthDecision.PathFault fault ->
          event("target.path-fault", pool, decision, fault.evidence())
              .with("left", fault.remaining())
              .emit();
      case HealthDecision.EjectionRefused refused ->
          event("target.ejection-refused", pool, decision, refused.evidence())
              .with("left", refused.remaining())
              .with("floor", refused.floor())
              .emit();
      case HealthDecision.TrialStarted trial ->
          event("target.trial", pool, decision).with("round", trial.backoffLevel()).emit();
      case HealthDecision.TrialFailed failed ->
          event("target.trial-failed", pool, decision)
              .with("trial-in-ms", failed.nextTrialIn().toMillis())
              .emit();
      case HealthDecision.Readmitted readmitted ->
          event("target.readmitted", pool, decision)
              .with("cause", readmitted.cause().text())
              .with("weight", readmitted.initialWeight())
              .emit();
      case HealthDecision.DrainingStarted ignored -> event("target.leaving", pool, decision).emit();
    }
  }

  private EventLog.Event event(String name, PoolId pool, HealthDecision decision) {
    return events.event(name).with("target", decision.target()).with("pool", pool);
  }

  private EventLog.Event event(
      String name, PoolId pool, HealthDecision decision, HealthDecision.Evidence evidence) {
    return event(name, pool, decision)
        .with("fault", evidence.kind().text())
        .with("observers", evidence.observers())
        .with("failure-domains", evidence.failureDomains())
        .with("age-ms", evidence.age().toMillis())
        .with("failures", String.format(Locale.ROOT, "%.1f", evidence.failures()))
        .with("ends", String.format(Locale.ROOT, "%.1f", evidence.outcomes()))
        .with("threshold-ms", evidence.stallThreshold().toMillis());
  }
}
