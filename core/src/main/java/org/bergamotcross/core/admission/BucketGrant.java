package org.bergamotcross.core.admission;

/**
 * Answers a {@link BucketAsk}; the tokens have left the bucket when it is sent.
 *
 * @param number the number of the ask
 * @param organisation the id of the organisation
 * @param amount the tokens granted
 * @param retryMillis the time in ms after which the bucket has a token again
 */
public record BucketGrant(long number, String organisation, int amount, long retryMillis) {}
