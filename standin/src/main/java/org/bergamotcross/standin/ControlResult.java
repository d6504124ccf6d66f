package org.bergamotcross.standin;

import java.util.List;

/**
 * The result of reading a control request.
 *
 * @param <C> the type of the changes
 */
sealed interface ControlResult<C> {

  /** The changes to make, in this order. */
  record Accepted<C>(List<C> changes) implements ControlResult<C> {}

  /** What is wrong with the request; nothing is changed. */
  record Rejected<C>(List<String> problems) implements ControlResult<C> {}
}
