package org.bergamotcross.core.admission;

import java.util.List;

/**
 * Requests a loan of tokens from a holder and settles earlier loans.
 *
 * <p>If {@code wanted} is 0, the message only settles loans and gets no reply.
 *
 * @param incarnation the incarnation of the borrower
 * @param ask the request number, used only once by the borrower
 * @param organisation the id of the organisation
 * @param needed the tokens for requests that are waiting now
 * @param wanted {@code needed} plus the tokens to prefetch
 * @param exact whether the holder grants exactly {@code needed} or nothing; used to combine
 *     fractions of a token from several holders
 * @param patienceMillis how long the most urgent request can still wait; 0 requests an immediate
 *     reply, otherwise the holder parks a request that it cannot serve for a short time
 * @param settlements the use of earlier grants of the same holder
 */
public record TokenRequest(
    long incarnation,
    long ask,
    String organisation,
    double needed,
    double wanted,
    boolean exact,
    long patienceMillis,
    List<Settlement> settlements) {

  /** Copies the list so that the record is immutable. */
  public TokenRequest {
    settlements = List.copyOf(settlements);
  }

  /**
   * The use of one grant so far. The amounts are totals, so processing a repeat has no effect.
   *
   * @param ask the number of the request that the grant answered
   * @param used the tokens that have admitted requests
   * @param returned the tokens that the borrower returned unused
   */
  public record Settlement(long ask, double used, double returned) {}
}
