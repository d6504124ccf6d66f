package org.bergamotcross.core.admission;

import java.util.List;

/**
 * The results of one {@link RateLimiter#step}.
 *
 * @param messages messages to send to other instances
 * @param completedWaits requests that were waiting and are now decided
 * @param events events to report to the log
 */
public record RateLimiterOutput(
    List<OutboundMessage> messages, List<CompletedWait> completedWaits, List<RateEvent> events) {

  /** Copies the lists so that the record is immutable. */
  public RateLimiterOutput {
    messages = List.copyOf(messages);
    completedWaits = List.copyOf(completedWaits);
    events = List.copyOf(events);
  }

  /**
   * A request that waited, with its decision.
   *
   * @param requestId the request
   * @param decision {@link RateDecision.Admitted} or {@link RateDecision.Refused}
   */
  public record CompletedWait(String requestId, RateDecision decision) {}
}
