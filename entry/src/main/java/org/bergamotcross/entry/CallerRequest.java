package org.bergamotcross.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.bergamotcross.kernel.Now;

/**
 * What the decisions need to know of a request from a caller.
 *
 * @param id the request id, given by the caller or made by the front end
 * @param method the HTTP method
 * @param host the host that the request names, in lower case, without a port
 * @param path the path without the query
 * @param keys the different keys that the request presents, as text; never logged
 * @param idempotencyKey the caller's idempotency key
 * @param timeout the longest time that the caller allows
 * @param receivedAt when the head of the request arrived
 * @param handle the way back to the caller
 */
public record CallerRequest(
    String id,
    String method,
    Optional<String> host,
    String path,
    List<String> keys,
    Optional<String> idempotencyKey,
    Optional<Duration> timeout,
    Now receivedAt,
    RequestHandle handle) {

  /** Copies the list. */
  public CallerRequest {
    keys = List.copyOf(keys);
  }

  /** Leaves out the keys, which are secrets. */
  @Override
  public String toString() {
    return "CallerRequest[" + id + " " + method + " " + path + "]";
  }
}
