package org.bergamotcross.core.admission;

import java.util.Optional;

/**
 * Notifies a holder of how an attempt ended.
 *
 * @param organisation the id of the organisation
 * @param key the key hash of the claim
 * @param attempt the attempt
 * @param state the wire name of the final {@link ClaimState}
 * @param answer the response to store for repeats, if it is small enough
 */
public record ClaimOutcome(
    String organisation,
    String key,
    String attempt,
    String state,
    Optional<StoredResponse> answer) {}
