package org.bergamotcross.entry.duties;

import com.codahale.metrics.Timer;
import java.time.Duration;
import java.util.Optional;
import org.bergamotcross.core.admission.ExecutionOutcome;
import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.core.admission.StoredResponse;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.routing.SendResult;
import org.bergamotcross.core.routing.TargetChoice;
import org.bergamotcross.core.routing.TargetNotices;
import org.bergamotcross.entry.AdmissionMessage;
import org.bergamotcross.entry.HealthMessage;
import org.bergamotcross.entry.Topics;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.EventLog;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Ring;

/** Reports routing decisions to the event log, the health duty and the admission duty. */
final class RoutingReporter {
  private final EventLog events;
  private final Optional<Ring<HealthMessage>> health;
  private final Optional<Ring<AdmissionMessage>> admission;
  private final Timer totalTime;

  RoutingReporter(PluginContext context) {
    this.events = context.events();
    this.health = context.ring(Topics.HEALTH);
    this.admission = context.ring(Topics.ADMISSION);
    this.totalTime = context.metrics().timer("request.total");
  }

  /** Reports the dispatch of an attempt. */
  void reportAttemptStarted(
      RoutedRequest request,
      RoutedRequest.Stage.Sent sent,
      TargetChoice.Chosen choice,
      double risk) {
    events
        .event("route.chosen")
        .with("request", request.id())
        .with("attempt", request.attemptCount())
        .with("pool", request.admitted().pool())
        .with("target", choice.target().id())
        .with("reason", choice.reason().text())
        .with("in-flight", choice.inFlight())
        .with("failure-risk", Math.round(risk * 1_000) / 1_000.0)
        .emit();
    health.ifPresent(
        ring ->
            ring.offerReserved(
                new HealthMessage.AttemptStarted(
                    sent.id(), request.admitted().pool(), choice.target().id())));
  }

  /** Reports the end of an attempt. */
  void reportAttemptEnded(
      RoutedRequest request,
      RoutedRequest.Stage.Sent sent,
      SendResult result,
      Duration timeToHead) {
    health.ifPresent(
        ring ->
            ring.offerReserved(
                new HealthMessage.AttemptEnded(
                    sent.id(), request.admitted().pool(), sent.target().id(), result, timeToHead)));
  }

  /**
   * Reports the response head of an attempt; from then on its duration depends on the caller, too,
   * and says nothing about the target.
   */
  void reportResponseStarted(RoutedRequest request, RoutedRequest.Stage.Sent sent) {
    health.ifPresent(
        ring ->
            ring.offerReserved(
                new HealthMessage.ResponseStarted(
                    sent.id(), request.admitted().pool(), sent.target().id())));
  }

  /** Reports an attempt that takes longer than usual. */
  void reportStalled(RoutedRequest request, RoutedRequest.Stage.Sent sent, ClockReading now) {
    events
        .event("route.stalled")
        .with("request", request.id())
        .with("attempt", request.attemptCount())
        .with("target", sent.target().id())
        .with("age-ms", now.since(sent.startedAt()).toMillis())
        .emit();
  }

  /** Reports a target that announced in a response that it is leaving. */
  void reportLeaving(Target target) {
    events
        .event("target.announced-leaving")
        .with("target", target.id())
        .with("started-at", target.startedAtMillis())
        .emit();
  }

  /** Reports the pause that a target asked for when it rejected a request. */
  void reportPaused(Target target, Duration requested) {
    events
        .event("target.paused")
        .with("target", target.id())
        .with("requested-ms", requested.toMillis())
        .with("bounded", requested.compareTo(TargetNotices.MAX_PAUSE) > 0)
        .emit();
  }

  /** Reports a request that is refused without a response from a target. */
  void reportRefused(RoutedRequest request, Refusal refusal, ClockReading now) {
    events
        .event("route.refused")
        .with("request", request.id())
        .with("target", request.previousTarget())
        .with("attempts", request.attemptCount())
        .with("reason", refusal.code())
        .with("outcome", refusal.outcome().label())
        .with("age-ms", now.since(request.admitted().request().receivedAt()).toMillis())
        .emit();
  }

  /** Reports a request that is queued because all targets are busy. */
  void reportQueued(RoutedRequest request) {
    events
        .event("route.queued")
        .with("request", request.id())
        .with("pool", request.admitted().pool())
        .with("reason", "all-targets-busy")
        .emit();
  }

  /** Reports a retry and its delay. */
  void reportRetry(RoutedRequest request, SendResult result, Duration delay) {
    events
        .event("route.retried")
        .with("request", request.id())
        .with("attempt", request.attemptCount())
        .with("target", request.previousTarget())
        .with("reason", reasonText(result))
        .with("delay-ms", delay.toMillis())
        .emit();
  }

  /**
   * Reports a request whose response was delivered, cut or broken, or whose caller disconnected.
   */
  void reportCompleted(RoutedRequest request, String result, ClockReading now) {
    Duration taken = now.since(request.admitted().request().receivedAt());
    totalTime.update(taken);
    events
        .event("request.completed")
        .with("request", request.id())
        .with("organisation", request.admitted().organisation())
        .with("target", request.previousTarget())
        .with("attempts", request.attemptCount())
        .with("result", result)
        .with("total-us", taken.toNanos() / 1_000)
        .emit();
  }

  /** Reports the end of a claimed request to admission, at most once. */
  void reportClaimEnded(
      RoutedRequest request, ExecutionOutcome outcome, Optional<StoredResponse> response) {
    if (request.takeClaimReportDue()) {
      admission.ifPresent(
          ring ->
              ring.offerReserved(
                  new AdmissionMessage.ClaimEnded(request.admitted(), outcome, response)));
    }
  }

  /** Returns the text that names a result in the event log. */
  static String reasonText(SendResult result) {
    return switch (result) {
      case SendResult.Completed completed -> "status-" + completed.status();
      case SendResult.Shed ignored -> "shed";
      case SendResult.ConnectFailed ignored -> "connect-failed";
      case SendResult.Broken ignored -> "broken";
      case SendResult.TimedOut ignored -> "timed-out";
      case SendResult.Cancelled ignored -> "cancelled";
    };
  }
}
