package org.bergamotcross.core.admission;

/**
 * Passes a bucket from a holder that has stopped serving it to the one that replaces it.
 *
 * @param organisation the id of the organisation
 * @param offset the offset of the configuration in which the receiver replaces the sender
 * @param parts the number of holders, the same before and after
 * @param level the tokens left in the bucket
 * @param outstanding the tokens granted that can still be used
 */
public record TokenHandover(
    String organisation, long offset, int parts, double level, double outstanding) {}
