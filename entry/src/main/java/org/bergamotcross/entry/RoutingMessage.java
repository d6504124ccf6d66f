package org.bergamotcross.entry;

/** A message to the routing duty. */
public sealed interface RoutingMessage {

  /**
   * A request was admitted; offered to the ring as new work.
   *
   * @param request the admitted request
   */
  record RequestAdmitted(AdmittedRequest request) implements RoutingMessage {}

  /**
   * The caller of a request disconnected.
   *
   * @param handle identifies the request; callers choose request ids, so two open requests may have
   *     the same one
   */
  record CallerDisconnected(RequestHandle handle) implements RoutingMessage {}

  /** Messages that the routing plug-in sends to its own duty; it declares the sealed subtypes. */
  non-sealed interface Internal extends RoutingMessage {}
}
