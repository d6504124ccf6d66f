package org.bergamotcross.core.admission;

/**
 * Reply to a {@link TokenRequest}; the tokens are deducted from the bucket before it is sent.
 *
 * @param incarnation the incarnation of the borrower, from the request
 * @param ask the number of the request
 * @param organisation the id of the organisation
 * @param amount the tokens granted, which may be 0
 * @param available the tokens left in the bucket
 * @param outstanding the tokens granted to all borrowers and not yet settled
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
