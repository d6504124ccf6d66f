package org.bergamotcross.core.admission;

/**
 * Reply to a {@link BucketRequest}; the tokens are taken from the bucket before it is sent.
 *
 * @param number the number of the request
 * @param organisation the id of the organisation
 * @param amount the number of tokens granted
 * @param retryMillis milliseconds until the bucket has a whole token again
 */
public record BucketGrant(long number, String organisation, int amount, long retryMillis) {}
