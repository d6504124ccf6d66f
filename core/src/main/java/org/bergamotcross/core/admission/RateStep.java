package org.bergamotcross.core.admission;

import java.util.List;

/**
 * What follows from one step of {@link RateAdmission}.
 *
 * @param messages messages to send to other instances
 * @param ended requests that have waited and are decided now
 */
public record RateStep(List<PeerMessage> messages, List<Ended> ended) {

  /** Copies the lists. */
  public RateStep {
    messages = List.copyOf(messages);
    ended = List.copyOf(ended);
  }

  /**
   * The end of a wait.
   *
   * @param requestId the request
   * @param decision {@link RateDecision.Admitted} or {@link RateDecision.Refused}
   */
  public record Ended(String requestId, RateDecision decision) {}
}
