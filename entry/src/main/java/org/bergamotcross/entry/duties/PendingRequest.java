package org.bergamotcross.entry.duties;

import java.util.Optional;
import org.bergamotcross.core.admission.ClaimCoordinator;
import org.bergamotcross.core.admission.TokenOrigin;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.kernel.Now;

/** A request that waits for a token or for claims; used by the admission thread alone. */
final class PendingRequest {
  // Callers choose request ids, so two open requests can share one.
  private final String uniqueId;
  private final AdmittedRequest request;
  private final Now since;
  private Optional<ClaimCoordinator> claim = Optional.empty();
  private Optional<TokenOrigin> token = Optional.empty();

  PendingRequest(String uniqueId, AdmittedRequest request, Now since) {
    this.uniqueId = uniqueId;
    this.request = request;
    this.since = since;
  }

  String uniqueId() {
    return uniqueId;
  }

  AdmittedRequest request() {
    return request;
  }

  Now since() {
    return since;
  }

  /** Returns where the token came from; nothing for a request that needs none. */
  Optional<TokenOrigin> token() {
    return token;
  }

  void admitBy(TokenOrigin origin) {
    token = Optional.of(origin);
  }

  Optional<ClaimCoordinator> claim() {
    return claim;
  }

  void claimBy(ClaimCoordinator coordinator) {
    claim = Optional.of(coordinator);
  }

  boolean needsClaim() {
    return !request.idempotent() && request.request().idempotencyKey().isPresent();
  }
}
