package org.bergamotcross.entry.duties;

import java.util.Optional;
import org.bergamotcross.core.admission.ClaimCoordinator;
import org.bergamotcross.core.admission.TokenOrigin;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.kernel.ClockReading;

/**
 * A request that waits in admission for a token or for claims. Not thread-safe; used only by the
 * admission thread.
 */
final class PendingRequest {
  // Callers choose request ids, so two open requests can have the same one.
  private final String uniqueId;
  private final AdmittedRequest request;
  private final ClockReading pendingSince;
  private Optional<ClaimCoordinator> claim = Optional.empty();
  private Optional<TokenOrigin> tokenOrigin = Optional.empty();

  PendingRequest(String uniqueId, AdmittedRequest request, ClockReading pendingSince) {
    this.uniqueId = uniqueId;
    this.request = request;
    this.pendingSince = pendingSince;
  }

  String uniqueId() {
    return uniqueId;
  }

  AdmittedRequest request() {
    return request;
  }

  ClockReading pendingSince() {
    return pendingSince;
  }

  /** Returns the origin of the token; empty for a request that needs none. */
  Optional<TokenOrigin> tokenOrigin() {
    return tokenOrigin;
  }

  void setTokenOrigin(TokenOrigin origin) {
    tokenOrigin = Optional.of(origin);
  }

  Optional<ClaimCoordinator> claim() {
    return claim;
  }

  void setClaim(ClaimCoordinator coordinator) {
    claim = Optional.of(coordinator);
  }

  boolean needsClaim() {
    return !request.idempotent() && request.request().idempotencyKey().isPresent();
  }
}
