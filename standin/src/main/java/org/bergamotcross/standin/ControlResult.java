package org.bergamotcross.standin;

import java.util.List;

/**
 * Result of parsing a control request.
 *
 * @param <C> the type of the changes
 */
sealed interface ControlResult<C> {

  /** The request is valid; its changes are applied in order. */
  record Accepted<C>(List<C> changes) implements ControlResult<C> {}

  /** The request is invalid and changes nothing. */
  record Rejected<C>(List<String> problems) implements ControlResult<C> {}
}
