package org.bergamotcross.core.admission;

/**
 * Answers a {@link TokenAsk}; the tokens are deducted from the bucket before it is sent.
 *
 * @param incarnation the incarnation of the borrower, from the ask
 * @param ask the number of the ask
 * @param organisation the id of the organisation
 * @param amount the tokens granted, 0 when there are none
 * @param available the tokens left in the bucket
 * @param outstanding the tokens granted to all borrowers that are not known to be used
 * @param serving whether the holder serves the organisation now
 */
public record TokenGrant(
    long incarnation,
    long ask,
    String organisation,
    double amount,
    double available,
    double outstanding,
    boolean serving) {}
