package org.bergamotcross.core.admission;

import java.util.Optional;

/**
 * Tells the holders how an attempt ended.
 *
 * @param organisation the id of the organisation
 * @param key the key of the claim
 * @param attempt the attempt
 * @param state the name of the {@link ClaimState} that the attempt reached
 * @param answer the answer, when it is small enough to be kept
 */
public record ClaimOutcome(
    String organisation, String key, String attempt, String state, Optional<StoredAnswer> answer) {}
