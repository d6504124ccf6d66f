package org.bergamotcross.entry.duties;

import com.codahale.metrics.Timer;
import java.time.Duration;
import java.util.Optional;
import org.bergamotcross.core.admission.ExecutionOutcome;
import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.core.admission.StoredResponse;
import org.bergamotcross.core.routing.SendResult;
import org.bergamotcross.core.routing.TargetChoice;
import org.bergamotcross.entry.AdmissionMessage;
import org.bergamotcross.entry.HealthMessage;
import org.bergamotcross.entry.Topics;
import org.bergamotcross.kernel.EventLog;
import org.bergamotcross.kernel.Now;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Ring;

/** Tells the log, the health duty and the admission duty what routing decided. */
final class RoutingReports {
  private final EventLog events;
  private final Optional<Ring<HealthMessage>> health;
  private final Optional<Ring<AdmissionMessage>> admission;
  private final Timer total;

  RoutingReports(PluginContext context) {
    this.events = context.events();
    this.health = context.ring(Topics.HEALTH);
    this.admission = context.ring(Topics.ADMISSION);
    this.total = context.metrics().timer("request.total");
  }

  /** Reports an attempt that is being sent. */
  void chosen(InHand request, InHand.Stage.Sent sent, TargetChoice.Chosen choice, double risk) {
    events
        .event("route.chosen")
        .with("request", request.id())
        .with("attempt", request.attempts())
        .with("pool", request.admitted().pool())
        .with("target", choice.target().id())
        .with("reason", choice.trial() ? "trial" : "fewest-in-flight-of-two")
        .with("in-flight", choice.inFlight())
        .with("failure-risk", Math.round(risk * 1_000) / 1_000.0)
        .emit();
    health.ifPresent(
        ring ->
            ring.offerReserved(
                new HealthMessage.AttemptStarted(
                    sent.id(), request.admitted().pool(), choice.target().id())));
  }

  /** Reports an attempt that ended. */
  void ended(InHand request, InHand.Stage.Sent sent, SendResult result, Duration timeToHead) {
    health.ifPresent(
        ring ->
            ring.offerReserved(
                new HealthMessage.AttemptEnded(
                    sent.id(), request.admitted().pool(), sent.target().id(), result, timeToHead)));
  }

  /** Reports the head of a response; a slow caller of a long one says nothing about the target. */
  void answering(InHand request, InHand.Stage.Sent sent) {
    health.ifPresent(
        ring ->
            ring.offerReserved(
                new HealthMessage.ResponseStarted(
                    sent.id(), request.admitted().pool(), sent.target().id())));
  }

  /** Reports an attempt that lasts longer than usual. */
  void stalled(InHand request, InHand.Stage.Sent sent, Now now) {
    events
        .event("route.stalled")
        .with("request", request.id())
        .with("attempt", request.attempts())
        .with("target", sent.target().id())
        .with("age-ms", now.since(sent.startedAt()).toMillis())
        .emit();
  }

  /** Reports a request that ends without an answer of a target. */
  void refused(InHand request, Refusal refusal, Now now) {
    events
        .event("route.refused")
        .with("request", request.id())
        .with("target", request.previous())
        .with("attempts", request.attempts())
        .with("reason", refusal.code())
        .with("outcome", refusal.outcome().label())
        .with("age-ms", now.since(request.admitted().request().receivedAt()).toMillis())
        .emit();
  }

  /** Reports a request that waits for a target. */
  void queued(InHand request) {
    events
        .event("route.queued")
        .with("request", request.id())
        .with("pool", request.admitted().pool())
        .with("reason", "all-targets-busy")
        .emit();
  }

  /** Reports a request that will be sent again. */
  void retried(InHand request, SendResult result, Duration delay) {
    events
        .event("route.retried")
        .with("request", request.id())
        .with("attempt", request.attempts())
        .with("target", request.previous())
        .with("reason", reason(result))
        .with("delay-ms", delay.toMillis())
        .emit();
  }

  /** Reports a request whose response the caller got or stopped reading. */
  void completed(InHand request, String result, Now now) {
    Duration taken = now.since(request.admitted().request().receivedAt());
    total.update(taken);
    events
        .event("request.completed")
        .with("request", request.id())
        .with("organisation", request.admitted().organisation())
        .with("target", request.previous())
        .with("attempts", request.attempts())
        .with("result", result)
        .with("total-us", taken.toNanos() / 1_000)
        .emit();
  }

  /** Tells admission the end of a claimed request, once. */
  void claimEnded(InHand request, ExecutionOutcome outcome, Optional<StoredResponse> answer) {
    if (request.takeClaimReport()) {
      admission.ifPresent(
          ring ->
              ring.offerReserved(
                  new AdmissionMessage.ClaimEnded(request.admitted(), outcome, answer)));
    }
  }

  /** Names a result for the log. */
  static String reason(SendResult result) {
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
