package org.bergamotcross.entry;

/** The messages of the routing duty. */
public sealed interface RoutingMessage {

  /**
   * A request may run; offered as new work.
   *
   * @param request the request
   */
  record RequestAdmitted(AdmittedRequest request) implements RoutingMessage {}

  /**
   * The caller of a request went away.
   *
   * @param handle the request; ids are chosen by callers, so two open requests may share one
   */
  record CallerDisconnected(RequestHandle handle) implements RoutingMessage {}

  /** Messages that only the routing plug-in sends to itself; it seals them on its side. */
  non-sealed interface Internal extends RoutingMessage {}
}
