package org.bergamotcross.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bergamotcross.kernel.ClockReading;

/** Instance list of the platform, in which a change appears only after a configurable lag. */
final class InstanceList {
  private record PendingChange(
      ClockReading madeAt, String id, Optional<InstanceListEntry> instance) {}

  private final Deque<PendingChange> pending = new ArrayDeque<>();
  private final Map<String, InstanceListEntry> visible = new TreeMap<>();
  private Duration lag;

  InstanceList(Duration lag) {
    this.lag = lag;
  }

  void setLag(Duration newLag) {
    lag = newLag;
  }

  void register(InstanceListEntry instance, ClockReading now) {
    pending.add(new PendingChange(now, instance.id(), Optional.of(instance)));
  }

  void remove(String id, ClockReading now) {
    pending.add(new PendingChange(now, id, Optional.empty()));
  }

  /**
   * Applies the changes whose lag has elapsed and returns the entries in the order of their ids.
   */
  List<InstanceListEntry> visible(ClockReading now) {
    while (!pending.isEmpty() && now.since(pending.peek().madeAt()).compareTo(lag) >= 0) {
      PendingChange change = pending.remove();
      change
          .instance()
          .ifPresentOrElse(i -> visible.put(change.id(), i), () -> visible.remove(change.id()));
    }
    return List.copyOf(visible.values());
  }
}
