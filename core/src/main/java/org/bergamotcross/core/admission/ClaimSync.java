package org.bergamotcross.core.admission;

/**
 * Asks an instance for the claims of an organisation that it knows.
 *
 * @param organisation the id of the organisation
 * @param epoch the epoch of the sender; an instance at another epoch does not answer
 * @param round a number that changes with each new attempt to learn the claims
 * @param afterKey the last key that the sender has got, empty for the first page
 */
public record ClaimSync(String organisation, long epoch, long round, String afterKey) {}
