package org.bergamotcross.entry.duties;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bergamotcross.core.config.TargetId;

/** The average number of requests in flight by target since the last such message. */
record InFlightMessage(List<Item> targets) {
  static final String KIND = "in-flight";

  /** The average of one target; those at 0 are left out. */
  record Item(String target, double average) {}

  static InFlightMessage of(Map<TargetId, Double> averages) {
    return new InFlightMessage(
        averages.entrySet().stream()
            .map(entry -> new Item(entry.getKey().value(), entry.getValue()))
            .toList());
  }

  Map<TargetId, Double> averages() {
    Map<TargetId, Double> averages = new HashMap<>();
    targets.forEach(item -> averages.put(new TargetId(item.target()), item.average()));
    return averages;
  }
}
