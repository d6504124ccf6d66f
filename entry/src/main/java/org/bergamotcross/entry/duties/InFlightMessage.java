package org.bergamotcross.entry.duties;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bergamotcross.core.config.TargetId;

/** Reports the average number of in-flight requests by target since the previous message. */
record InFlightMessage(List<Item> targets) {
  static final String KIND = "in-flight";

  /** The average of one target; targets at 0 are left out. */
  record Item(String target, double average) {}

  static InFlightMessage fromAverages(Map<TargetId, Double> averages) {
    return new InFlightMessage(
        averages.entrySet().stream()
            .map(entry -> new Item(entry.getKey().value(), entry.getValue()))
            .toList());
  }

  Map<TargetId, Double> toAverages() {
    Map<TargetId, Double> averages = new HashMap<>();
    targets.forEach(item -> averages.put(new TargetId(item.target()), item.average()));
    return averages;
  }
}
