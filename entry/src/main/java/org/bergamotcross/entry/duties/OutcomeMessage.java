package org.bergamotcross.entry.duties;

import java.util.Map;

/**
 * Tells peers how requests at targets ended since the last message.
 *
 * @param completed the number of requests that each target completed, by its id
 * @param failed the number of requests that each target itself reported as failed, by its id
 * @param unreachable the number of requests that stalled or whose connection failed, by target
 */
record OutcomeMessage(
    Map<String, Integer> completed, Map<String, Integer> failed, Map<String, Integer> unreachable) {
  static final String KIND = "outcomes";

  /** Copies the maps. */
  OutcomeMessage {
    completed = completed == null ? Map.of() : Map.copyOf(completed);
    failed = failed == null ? Map.of() : Map.copyOf(failed);
    unreachable = unreachable == null ? Map.of() : Map.copyOf(unreachable);
  }
}
