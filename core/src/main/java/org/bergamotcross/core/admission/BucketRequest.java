package org.bergamotcross.core.admission;

/**
 * Requests tokens from the bucket that a holder fills from its delegated fraction of a rate.
 *
 * @param number the request number, used only once by the sending process
 * @param organisation the id of the organisation
 * @param needed the number of tokens, one for each waiting request
 */
public record BucketRequest(long number, String organisation, int needed) {}
