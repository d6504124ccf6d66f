package org.bergamotcross.core.admission;

/**
 * Asks the owner of an organisation's bucket for tokens.
 *
 * @param number a number that the asking process uses once
 * @param organisation the id of the organisation
 * @param needed tokens for requests that wait now
 * @param wanted {@code needed} and the tokens to prefetch
 */
public record BucketAsk(long number, String organisation, int needed, int wanted) {}
