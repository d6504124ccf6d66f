package org.bergamotcross.core.admission;

/**
 * Hands a bucket over from a holder that has stopped serving it to its replacement.
 *
 * @param organisation the id of the organisation
 * @param offset the log offset of the configuration in which the receiver replaces the sender
 * @param parts the number of holders, which is the same before and after the hand-over
 * @param level the tokens left in the bucket
 * @param outstanding the granted tokens that can still be used
 */
public record TokenHandover(
    String organisation, long offset, int parts, double level, double outstanding) {}
