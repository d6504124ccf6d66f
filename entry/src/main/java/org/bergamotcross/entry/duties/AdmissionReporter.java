package org.bergamotcross.entry.duties;

import com.codahale.metrics.Meter;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.Optional;
import org.bergamotcross.core.admission.ExecutionOutcome;
import org.bergamotcross.core.admission.RateEvent;
import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.core.admission.TokenOrigin;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.EventLog;
import org.bergamotcross.kernel.PluginContext;

/** Logs an event for each admission decision and updates the admission metrics. */
final class AdmissionReporter {
  private final EventLog events;
  private final Meter admittedMeter;
  private final Meter refusedMeter;
  private final Timer waitTime;

  AdmissionReporter(PluginContext context) {
    events = context.events();
    admittedMeter = context.metrics().meter("admission.admitted");
    refusedMeter = context.metrics().meter("admission.refused");
    waitTime = context.metrics().timer("admission.waited");
  }

  void reportWaiting(PendingRequest pending) {
    event("admission.waiting", pending.request()).with("reason", "no-token").emit();
  }

  void reportAdmitted(PendingRequest pending, ClockReading now) {
    admittedMeter.mark();
    waitTime.update(now.since(pending.pendingSince()));
    event("admission.admitted", pending.request())
        .with("route", pending.request().route().name())
        .with("pool", pending.request().pool())
        .with("reason", reason(pending))
        .with("token-from", pending.tokenOrigin().map(TokenOrigin::label))
        .with("waited-us", now.since(pending.pendingSince()).toNanos() / 1_000)
        .emit();
  }

  void reportRateEvent(RateEvent change) {
    switch (change) {
      case RateEvent.HeldFractionChanged held ->
          events
              .event("rates.held")
              .with("organisation", held.organisation())
              .with("part", String.format(Locale.ROOT, "%.3f", held.fraction()))
              .with("before", String.format(Locale.ROOT, "%.3f", held.before()))
              .emit();
      case RateEvent.RequestTimedOut timedOut ->
          events
              .event("rates.unanswered")
              .with("organisation", timedOut.organisation())
              .with("holder", timedOut.holder())
              .emit();
      case RateEvent.LeasesDropped dropped ->
          events
              .event("rates.leases-dropped")
              .with("reason", "steady-clock-stood-still")
              .with("pause-ms", dropped.pause().toMillis())
              .emit();
    }
  }

  private static String reason(PendingRequest pending) {
    if (pending.request().organisation().isEmpty()) {
      return "no-key-needed";
    }
    return pending.claim().isPresent() ? "token-and-claim" : "token";
  }

  void reportRefused(String requestId, Optional<OrganisationId> organisation, Refusal refusal) {
    refusedMeter.mark();
    EventLog.Event event =
        events
            .event("admission.refused")
            .with("request", requestId)
            .with("organisation", organisation)
            .with("reason", refusal.code())
            .with("outcome", refusal.outcome().label());
    if (refusal instanceof Refusal.RateExceeded rate) {
      event.with("retry-after-ms", rate.retryAfter().toMillis());
    }
    if (refusal instanceof Refusal.ClaimUnavailable claim) {
      event.with("holders", claim.reason());
    }
    event.emit();
  }

  void reportAbandoned(PendingRequest pending) {
    event("admission.abandoned", pending.request()).with("reason", "caller-gone").emit();
  }

  void reportClaimGranted(PendingRequest pending, String attempt) {
    event("claim.granted", pending.request()).with("attempt", attempt).emit();
  }

  void reportClaimAnswered(PendingRequest pending) {
    event("claim.answered", pending.request()).with("reason", "stored-answer").emit();
  }

  void reportClaimEnded(AdmittedRequest request, ExecutionOutcome outcome, boolean stored) {
    event("claim.ended", request).with("outcome", outcome.label()).with("stored", stored).emit();
  }

  private EventLog.Event event(String name, AdmittedRequest request) {
    return events
        .event(name)
        .with("request", request.request().id())
        .with("organisation", request.organisation());
  }
}
