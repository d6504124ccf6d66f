package org.bergamotcross.entry.duties;

import java.util.Map;

/**
 * Tells peers how requests at targets ended since the last message.
 *
 * @param completed the number of requests that each target completed, by its id
 * @param failed the number of requests that each target failed or let stall, by its id
 */
record OutcomeMessage(Map<String, Integer> completed, Map<String, Integer> failed) {
  static final String KIND = "outcomes";

  /** Copies the maps. */
  OutcomeMessage {
    completed = completed == null ? Map.of() : Map.copyOf(completed);
    failed = failed == null ? Map.of() : Map.copyOf(failed);
  }
}
