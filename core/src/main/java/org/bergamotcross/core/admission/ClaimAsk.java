package org.bergamotcross.core.admission;

import org.apache.commons.codec.digest.DigestUtils;
import org.bergamotcross.core.config.OrganisationId;

/**
 * Asks a holder to record an attempt as the only one for an idempotency key.
 *
 * @param organisation the id of the organisation
 * @param key the hash of organisation and idempotency key, from {@link #key}
 * @param epoch the epoch of the members by which the holder was chosen
 * @param attempt the attempt, unique over all instances and restarts
 */
public record ClaimAsk(String organisation, String key, long epoch, String attempt) {

  /**
   * Hashes the key of a claim, so that two organisations never share one.
   *
   * @param organisation the organisation
   * @param idempotencyKey what the caller sent
   * @return 64 hexadecimal digits
   */
  public static String key(OrganisationId organisation, String idempotencyKey) {
    return DigestUtils.sha256Hex(organisation.value() + '\n' + idempotencyKey);
  }
}
