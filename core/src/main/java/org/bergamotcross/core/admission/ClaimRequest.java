package org.bergamotcross.core.admission;

import org.apache.commons.codec.digest.DigestUtils;
import org.bergamotcross.core.config.OrganisationId;

/**
 * Requests that a holder grant an idempotency key exclusively to one attempt.
 *
 * @param organisation the id of the organisation
 * @param key the hash of organisation and idempotency key, see {@link #key}
 * @param epoch the membership epoch by which the holder was chosen
 * @param attempt the id of the attempt, unique across instances and restarts
 */
public record ClaimRequest(String organisation, String key, long epoch, String attempt) {

  /**
   * Hashes an idempotency key together with its organisation, so that equal keys of two
   * organisations never collide.
   *
   * @param organisation the organisation
   * @param idempotencyKey the idempotency key as the caller sent it
   * @return 64 hexadecimal digits
   */
  public static String key(OrganisationId organisation, String idempotencyKey) {
    return DigestUtils.sha256Hex(organisation.value() + '\n' + idempotencyKey);
  }
}
