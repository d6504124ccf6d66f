package org.bergamotcross.core.admission;

import java.util.List;

/**
 * Asks a holder for tokens of an organisation and settles earlier grants.
 *
 * <p>With {@code wanted} 0 the message only settles and gets no answer.
 *
 * @param incarnation the incarnation of the borrower
 * @param ask a number that the borrower uses once
 * @param organisation the id of the organisation
 * @param needed tokens for requests that wait now
 * @param wanted {@code needed} and the tokens to prefetch
 * @param exact whether the holder grants {@code needed} or nothing; used to join fractions
 * @param patienceMillis how long the most urgent request can still wait; 0 asks for an answer at
 *     once, otherwise the holder keeps an ask that it can't meet for a short time
 * @param settlements what became of earlier grants of the same holder
 */
public record TokenAsk(
    long incarnation,
    long ask,
    String organisation,
    double needed,
    double wanted,
    boolean exact,
    long patienceMillis,
    List<Settlement> settlements) {

  /** Copies the list. */
  public TokenAsk {
    settlements = List.copyOf(settlements);
  }

  /**
   * What became of one grant so far; the amounts are totals, so a repeat changes nothing.
   *
   * @param ask the ask that the grant answered
   * @param used tokens that admitted a request
   * @param returned tokens that the borrower gave up
   */
  public record Settlement(long ask, double used, double returned) {}
}
