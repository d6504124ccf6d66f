package org.bergamotcross.entry;

/** The messages of the routing duty. */
public sealed interface RoutingInput {

  /**
   * A request may run; offered as new work.
   *
   * @param request the request
   */
  record Admitted(AdmittedRequest request) implements RoutingInput {}

  /**
   * The caller of a request went away.
   *
   * @param requestId the request
   */
  record CallerGone(String requestId) implements RoutingInput {}

  /** Messages that only the routing plug-in sends to itself; it seals them on its side. */
  non-sealed interface Internal extends RoutingInput {}
}
