package org.bergamotcross.core.admission;

import java.util.List;
import java.util.Optional;

/**
 * Answers a {@link ClaimSync} with one page of claims, ordered by key.
 *
 * <p>Because the sender is at the epoch of the ask, it grants nothing at an earlier one any more.
 *
 * @param organisation the id of the organisation
 * @param epoch the epoch of the ask
 * @param round the round of the ask
 * @param afterKey the key after which the page begins
 * @param incarnation the incarnation of the sender
 * @param based whether the sender knows all claims granted before the first of {@code sets}
 * @param sets the holder sets from then on, the present one last
 * @param claims the claims of the page
 * @param last whether no further page follows
 */
public record ClaimSyncAnswer(
    String organisation,
    long epoch,
    long round,
    String afterKey,
    long incarnation,
    boolean based,
    List<HolderSet> sets,
    List<Entry> claims,
    boolean last) {

  /** Copies the lists. */
  public ClaimSyncAnswer {
    sets = List.copyOf(sets);
    claims = List.copyOf(claims);
  }

  /**
   * One claim.
   *
   * @param key the key
   * @param attempt the attempt
   * @param state the name of the state
   * @param ageMillis milliseconds since its last change
   * @param answer the answer that is kept
   */
  public record Entry(
      String key, String attempt, String state, long ageMillis, Optional<StoredAnswer> answer) {}
}
