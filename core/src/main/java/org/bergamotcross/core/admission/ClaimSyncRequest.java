package org.bergamotcross.core.admission;

/**
 * Requests a page of the claims that an instance knows for an organisation.
 *
 * @param organisation the id of the organisation
 * @param epoch the membership epoch of the sender; an instance at another epoch does not respond
 * @param round the number of the sync round, different for each new round
 * @param afterKey the last key that the sender has received; empty for the first page
 */
public record ClaimSyncRequest(String organisation, long epoch, long round, String afterKey) {}
