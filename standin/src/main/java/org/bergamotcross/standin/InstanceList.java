package org.bergamotcross.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bergamotcross.kernel.Now;

/** The instance list, which shows changes only after its lag. */
final class InstanceList {
  private record Pending(Now at, String id, Optional<ListedInstance> instance) {}

  private final Deque<Pending> pending = new ArrayDeque<>();
  private final Map<String, ListedInstance> visible = new TreeMap<>();
  private Duration lag;

  InstanceList(Duration lag) {
    this.lag = lag;
  }

  void lag(Duration newLag) {
    lag = newLag;
  }

  void register(ListedInstance instance, Now now) {
    pending.add(new Pending(now, instance.id(), Optional.of(instance)));
  }

  void remove(String id, Now now) {
    pending.add(new Pending(now, id, Optional.empty()));
  }

  List<ListedInstance> visible(Now now) {
    while (!pending.isEmpty() && now.since(pending.peek().at()).compareTo(lag) >= 0) {
      Pending change = pending.remove();
      change
          .instance()
          .ifPresentOrElse(i -> visible.put(change.id(), i), () -> visible.remove(change.id()));
    }
    return List.copyOf(visible.values());
  }
}
