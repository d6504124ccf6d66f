package org.bergamotcross.core.admission;

import java.util.Optional;

/**
 * Reply of a holder to a {@link ClaimRequest}.
 *
 * @param key the key hash from the request
 * @param attempt the attempt from the request
 * @param epoch the membership epoch from the request
 * @param verdict the wire name of the verdict
 * @param state the wire name of the recorded attempt's state; empty unless the verdict is {@code
 *     exists}
 * @param answer the stored response of the recorded attempt, if there is one
 */
public record ClaimResponse(
    String key,
    String attempt,
    long epoch,
    String verdict,
    String state,
    Optional<StoredResponse> answer) {

  /**
   * Encodes a verdict as the response to a request.
   *
   * @param request the request
   * @param verdict the verdict
   * @return the response
   */
  public static ClaimResponse of(ClaimRequest request, ClaimVerdict verdict) {
    String name =
        switch (verdict) {
          case ClaimVerdict.Granted ignored -> "granted";
          case ClaimVerdict.Exists ignored -> "exists";
          case ClaimVerdict.WrongEpoch ignored -> "wrong-epoch";
          case ClaimVerdict.NotReady ignored -> "not-ready";
          case ClaimVerdict.Full ignored -> "full";
        };
    boolean exists = verdict instanceof ClaimVerdict.Exists;
    return new ClaimResponse(
        request.key(),
        request.attempt(),
        request.epoch(),
        name,
        exists ? ((ClaimVerdict.Exists) verdict).state().wireName() : "",
        exists ? ((ClaimVerdict.Exists) verdict).answer() : Optional.empty());
  }

  /**
   * Decodes the verdict.
   *
   * @return the verdict; empty if the verdict or the state has an unknown name
   */
  public Optional<ClaimVerdict> toVerdict() {
    return switch (verdict) {
      case "granted" -> Optional.of(new ClaimVerdict.Granted());
      case "exists" ->
          ClaimState.fromWireName(state).map(known -> new ClaimVerdict.Exists(known, answer));
      case "wrong-epoch" -> Optional.of(new ClaimVerdict.WrongEpoch());
      case "not-ready" -> Optional.of(new ClaimVerdict.NotReady());
      case "full" -> Optional.of(new ClaimVerdict.Full());
      default -> Optional.empty();
    };
  }
}
