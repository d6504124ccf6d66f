package org.bergamotcross.core.admission;

import java.util.Optional;

/**
 * Answers a {@link ClaimAsk}.
 *
 * @param key the key of the ask
 * @param attempt the attempt of the ask
 * @param epoch the epoch of the ask
 * @param verdict the name of the verdict
 * @param state the name of the state of the recorded attempt; empty unless the verdict is exists
 * @param answer the answer that is kept
 */
public record ClaimAnswer(
    String key,
    String attempt,
    long epoch,
    String verdict,
    String state,
    Optional<StoredAnswer> answer) {

  /**
   * Writes a verdict.
   *
   * @param ask the ask
   * @param verdict the verdict
   * @return the message
   */
  public static ClaimAnswer of(ClaimAsk ask, ClaimVerdict verdict) {
    String name =
        switch (verdict) {
          case ClaimVerdict.Granted ignored -> "granted";
          case ClaimVerdict.Exists ignored -> "exists";
          case ClaimVerdict.WrongEpoch ignored -> "wrong-epoch";
          case ClaimVerdict.NotReady ignored -> "not-ready";
          case ClaimVerdict.Full ignored -> "full";
        };
    boolean exists = verdict instanceof ClaimVerdict.Exists;
    return new ClaimAnswer(
        ask.key(),
        ask.attempt(),
        ask.epoch(),
        name,
        exists ? ((ClaimVerdict.Exists) verdict).state().text() : "",
        exists ? ((ClaimVerdict.Exists) verdict).answer() : Optional.empty());
  }

  /**
   * Reads the verdict.
   *
   * @return the verdict, or nothing when a name is unknown
   */
  public Optional<ClaimVerdict> decoded() {
    return switch (verdict) {
      case "granted" -> Optional.of(new ClaimVerdict.Granted());
      case "exists" -> ClaimState.of(state).map(known -> new ClaimVerdict.Exists(known, answer));
      case "wrong-epoch" -> Optional.of(new ClaimVerdict.WrongEpoch());
      case "not-ready" -> Optional.of(new ClaimVerdict.NotReady());
      case "full" -> Optional.of(new ClaimVerdict.Full());
      default -> Optional.empty();
    };
  }
}
