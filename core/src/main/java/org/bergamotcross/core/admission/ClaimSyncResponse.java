package org.bergamotcross.core.admission;

import java.util.List;
import java.util.Optional;

/**
 * One page of claims, ordered by key, in reply to a {@link ClaimSyncRequest}.
 *
 * <p>The sender is at the epoch of the request, so it no longer grants claims at an earlier one.
 *
 * @param organisation the id of the organisation
 * @param epoch the membership epoch from the request
 * @param round the sync round from the request
 * @param afterKey the key after which the page starts, from the request
 * @param incarnation the incarnation of the sender
 * @param based whether the sender knows all claims granted before the first of {@code sets}
 * @param sets the holder sets from then on, ending with the current one
 * @param claims the claims of the page
 * @param last whether this is the last page
 */
public record ClaimSyncResponse(
    String organisation,
    long epoch,
    long round,
    String afterKey,
    long incarnation,
    boolean based,
    List<HolderSet> sets,
    List<Entry> claims,
    boolean last) {

  /** Copies the lists so that the record is immutable. */
  public ClaimSyncResponse {
    sets = List.copyOf(sets);
    claims = List.copyOf(claims);
  }

  /**
   * One claim on a page.
   *
   * @param key the key hash
   * @param attempt the id of the attempt
   * @param state the wire name of the state
   * @param ageMillis milliseconds since the last change of the claim
   * @param answer the stored response, if there is one
   */
  public record Entry(
      String key, String attempt, String state, long ageMillis, Optional<StoredResponse> answer) {}
}
