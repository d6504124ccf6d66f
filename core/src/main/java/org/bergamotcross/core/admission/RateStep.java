package org.bergamotcross.core.admission;

import java.util.List;

/**
 * What follows from one step of {@link RateControl}.
 *
 * @param messages messages to send to other instances
 * @param ended requests that have waited and are decided now
 * @param events changes of what this instance believes
 */
public record RateStep(List<PeerMessage> messages, List<Ended> ended, List<RateEvent> events) {

  /** Copies the lists. */
  public RateStep {
    messages = List.copyOf(messages);
    ended = List.copyOf(ended);
    events = List.copyOf(events);
  }

  /**
   * The end of a wait.
   *
   * @param requestId the request
   * @param decision {@link RateDecision.Admitted} or {@link RateDecision.Refused}
   */
  public record Ended(String requestId, RateDecision decision) {}
}
