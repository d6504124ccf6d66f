package org.bergamotcross.entry.duties;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BinaryOperator;

/**
 * Reports to peers how requests to targets ended since the previous message.
 *
 * @param completed the number of requests that each target completed, by target id
 * @param failed the number of requests that each target itself answered with a failure, by target
 *     id
 * @param unreachable the number of requests that stalled or whose connection failed, by target id
 * @param leaving the Unix time in ms of the start of each target that announced that it is leaving,
 *     by target id; 0 if the start is unknown
 * @param pools what the sender saw of pools, as sums by the keys of {@link PoolScheduling}; empty
 *     from older builds
 */
record OutcomeMessage(
    Map<String, Integer> completed,
    Map<String, Integer> failed,
    Map<String, Integer> unreachable,
    Map<String, Long> leaving,
    Map<String, Long> pools) {
  static final String KIND = "outcomes";

  /** Makes unmodifiable copies of the maps; a map that is missing in a message becomes empty. */
  OutcomeMessage {
    completed = completed == null ? Map.of() : Map.copyOf(completed);
    failed = failed == null ? Map.of() : Map.copyOf(failed);
    unreachable = unreachable == null ? Map.of() : Map.copyOf(unreachable);
    leaving = leaving == null ? Map.of() : Map.copyOf(leaving);
    pools = pools == null ? Map.of() : Map.copyOf(pools);
  }

  /** Creates a message without pools. */
  OutcomeMessage(
      Map<String, Integer> completed,
      Map<String, Integer> failed,
      Map<String, Integer> unreachable,
      Map<String, Long> leaving) {
    this(completed, failed, unreachable, leaving, Map.of());
  }

  /** Returns a message with the effect of both; of two starts of a target, the later one counts. */
  OutcomeMessage merge(OutcomeMessage other) {
    return new OutcomeMessage(
        merge(completed, other.completed, Integer::sum),
        merge(failed, other.failed, Integer::sum),
        merge(unreachable, other.unreachable, Integer::sum),
        merge(leaving, other.leaving, Math::max),
        merge(pools, other.pools, Long::sum));
  }

  private static <T> Map<String, T> merge(
      Map<String, T> first, Map<String, T> second, BinaryOperator<T> merger) {
    Map<String, T> merged = new HashMap<>(first);
    second.forEach((target, value) -> merged.merge(target, value, merger));
    return merged;
  }
}
